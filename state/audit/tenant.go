package audit

import (
	"encoding/hex"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/routing"
	"shallotring.dev/state/tenant"
)

// Fingerprint names a key without showing it: the first eight hexadecimal digits of its SHA-256.
func Fingerprint(d tenant.Digest) string { return hex.EncodeToString(d[:4]) }

func (f *findings) checkTenants(t *routing.Table) {
	if t.Tenants == nil {
		return
	}
	names, holders := make(map[ident.Tenant]bool), make(map[tenant.Digest]ident.Tenant)
	sum := 0.0
	for _, x := range t.Tenants.All() {
		place := "tenants/" + string(x.Name)
		switch {
		case x.Name == "":
			f.add(Error, "tenants", "name each tenant", "a tenant has no name")
		case names[x.Name]:
			f.add(Error, place, "merge the two", "another tenant has the same name")
		}
		names[x.Name] = true
		if len(x.Keys) == 0 {
			f.add(Warning, place, "add a key or remove the tenant", "the tenant has no keys, so no request belongs to it")
		}
		own := make(map[tenant.Digest]bool)
		for _, k := range x.Keys {
			switch other, held := holders[k]; {
			case k == tenant.DigestOf(""):
				f.add(Error, place, "remove the empty key", "an empty key opens nothing")
			case own[k]:
				f.add(Warning, place, "list each key once", "key %s is listed twice", Fingerprint(k))
			case held:
				f.add(Error, place, "give each tenant keys of its own", "key %s is also held by tenant %s; entries refuse it for both", Fingerprint(k), other)
			default:
				holders[k] = x.Name
			}
			own[k] = true
		}
		if x.Priority != nil && (*x.Priority < 0 || *x.Priority > maxPriority) {
			f.add(Warning, place, "use a priority from 0 to 9", "priority %d is outside 0 to %d", *x.Priority, maxPriority)
		}
		f.checkUsage(t, x, place)
		if x.Limit.Unit == tenant.Tokens {
			sum += x.Limit.Rate
		}
	}
	if sum > 0 {
		f.add(Info, "tenants", "", "all tenants together may use %.0f tokens per second", sum)
	}
	if len(t.Tenants.All()) == 0 {
		f.add(Error, "tenants", "add tenants, or remove the list to open all routes", "the list of tenants is empty, so every route that is not public is closed")
	}
}

// checkUsage examines the limit of a tenant.
func (f *findings) checkUsage(t *routing.Table, x tenant.Tenant, place string) {
	l := x.Limit
	if l.Rate <= 0 {
		if l.Burst > 0 {
			f.add(Warning, place, "state a rate", "the burst of %g has no effect without a rate; the tenant has no limit", l.Burst)
		}
		return
	}
	switch {
	case l.Unit == tenant.Requests && l.Burst < 1 && l.Rate < 1:
		f.add(Error, place, "allow a burst of 1 or more", "the burst of %g and the rate of %g per second leave no room for one request", l.Burst, l.Rate)
	case l.Unit == tenant.Tokens && l.Burst < float64(l.Unstated):
		f.add(Error, place, "raise the burst", "a request that states no tokens counts as %d, more than the burst of %g", l.Unstated, l.Burst)
	case l.Unit == tenant.Tokens && l.Burst < float64(largestPrompt(t)):
		f.add(Info, place, "", "the burst of %g tokens is smaller than the largest request that an engine can hold, %d tokens", l.Burst, largestPrompt(t))
	}
}

// largestPrompt returns the largest number of tokens that any engine can hold.
func largestPrompt(t *routing.Table) (n ident.Tokens) {
	for _, s := range t.Services {
		if s.Engine != nil {
			n = max(n, s.Engine.CacheTokens)
		}
	}
	return n
}
