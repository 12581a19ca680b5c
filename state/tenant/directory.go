package tenant

import (
	"crypto/sha256"
	"slices"

	"shallotring.dev/state/ident"
)

// Unit is what a tenant's limit counts.
type Unit int

// Units of limits.
const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts the prompt tokens and the maximum number of output tokens of each request.
	Tokens
)

// Limit bounds the usage of a tenant over all entries together.
type Limit struct {
	Unit Unit
	// Rate is the number of units per second and Burst the number beyond it that may be used at once; a Rate of 0 means no limit.
	Rate  float64
	Burst float64
	// Unstated is the number of tokens that a request counts for which states none; it applies to the unit Tokens.
	Unstated ident.Tokens
}

// Limited reports whether the limit bounds anything.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Units returns what a request counts that states a number of tokens, 0 if it states none.
func (l Limit) Units(stated ident.Tokens) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case stated == 0:
		return float64(l.Unstated)
	}
	return float64(stated)
}

// Digest is the SHA-256 of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Tenant is one tenant of a configuration.
type Tenant struct {
	Name ident.Tenant
	// Keys are the digests of the API keys.
	Keys []Digest
	// Priority replaces that of the route, from 0, the highest, to 9; nil leaves the route's.
	Priority *int
	Limit    Limit
}

// Same reports whether two tenants are one by their names; nil is no tenant.
func (t *Tenant) Same(other *Tenant) bool {
	return t == other || t != nil && other != nil && t.Name == other.Name
}

// Directory holds the tenants of one configuration; it is immutable. A nil Directory means that the configuration has no tenants, so every
// route is open to all callers.
type Directory struct {
	tenants []Tenant
	byKey   map[Digest]int
}

// New returns a directory; a key of two tenants belongs to none.
func New(tenants []Tenant) *Directory {
	d := &Directory{tenants: tenants, byKey: make(map[Digest]int)}
	for i, t := range tenants {
		for _, k := range t.Keys {
			if other, ok := d.byKey[k]; ok && other != i {
				d.byKey[k] = -1
				continue
			}
			d.byKey[k] = i
		}
	}
	return d
}

// Find returns the tenant that holds a key; ok is false if none does.
func (d *Directory) Find(k Digest) (t *Tenant, ok bool) {
	i, ok := d.byKey[k]
	if !ok || i < 0 {
		return nil, false
	}
	return &d.tenants[i], true
}

// HasLimits reports whether the usage of any tenant is limited.
func (d *Directory) HasLimits() bool {
	return d != nil && slices.ContainsFunc(d.tenants, func(t Tenant) bool { return t.Limit.Limited() })
}

// All returns the tenants in the order of the configuration.
func (d *Directory) All() []Tenant { return d.tenants }
