package audit

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/routing"
	"shallotring.dev/state/tenant"
)

// Difference lists what a configuration changes for callers against the one in force.
func Difference(inForce, next *routing.Table) (list []Finding) {
	var f findings
	switch {
	case next.Version < inForce.Version:
		f.add(Error, "version", "raise the version", "version %d is older than %d, which is in force; entries ignore it", next.Version, inForce.Version)
	case next.Version == inForce.Version:
		f.add(Error, "version", "raise the version", "version %d is in force already; entries ignore another one with its number", next.Version)
	}
	f.compareRoutes(inForce, next)
	f.compareServices(inForce, next)
	f.compareTenants(inForce.Tenants, next.Tenants)
	if inForce.Limits != next.Limits {
		f.add(Info, "limits", "", "changes: %s", changes(inForce.Limits, next.Limits))
	}
	Sort(f)
	return f
}

// changes lists the fields in which two structs of one type differ.
func changes(old, next any) string {
	var list []string
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range a.NumField() {
		if x, y := a.Field(i).Interface(), b.Field(i).Interface(); !reflect.DeepEqual(x, y) {
			list = append(list, fmt.Sprintf("%s from %v to %v", a.Type().Field(i).Name, x, y))
		}
	}
	return strings.Join(list, ", ")
}

func (f *findings) compareRoutes(inForce, next *routing.Table) {
	type match struct{ host, prefix string }
	former := make(map[match]routing.Route)
	for _, r := range inForce.Routes() {
		m := match{r.Host, r.Prefix}
		if _, ok := former[m]; !ok {
			former[m] = r
		}
	}
	for _, r := range next.Routes() {
		m, place := match{r.Host, r.Prefix}, "routes/"+r.Name
		old, ok := former[m]
		delete(former, m)
		switch {
		case !ok:
			f.add(Info, place, "", "is new: %s%s leads to %v", r.Host, r.Prefix, r.Targets)
			continue
		case !slices.Equal(old.Targets, r.Targets):
			f.add(Info, place, "", "requests go to %v in place of %v", r.Targets, old.Targets)
		}
		if old.Public != r.Public {
			f.add(Warning, place, "make sure that its callers know", "needs a key: %t; it did before: %t", !r.Public, !old.Public)
		}
		old.Targets, old.Public, old.Name = r.Targets, r.Public, r.Name
		if c := changes(old, r); c != "" {
			f.add(Info, place, "", "changes: %s", c)
		}
	}
	for _, r := range inForce.Routes() {
		m := match{r.Host, r.Prefix}
		if _, removed := former[m]; !removed {
			continue
		}
		delete(former, m)
		if other, ok := next.Match(r.Host, r.Prefix); ok {
			f.add(Warning, "routes/"+r.Name, "make sure that this is meant", "is removed; its requests match route %s from then on", other.Name)
			continue
		}
		f.add(Warning, "routes/"+r.Name, "make sure that its callers know", "is removed; its requests are refused with 404 from then on")
	}
}

func (f *findings) compareServices(inForce, next *routing.Table) {
	for _, s := range next.ServiceList() {
		old, ok := inForce.Services[s.Name]
		switch {
		case !ok:
			f.add(Info, "services/"+string(s.Name), "", "is new")
		case !reflect.DeepEqual(old, s):
			f.add(Info, "services/"+string(s.Name), "", "the capacity or the models of its endpoints change")
		}
	}
	for _, s := range inForce.ServiceList() {
		if _, ok := next.Services[s.Name]; !ok {
			f.add(Info, "services/"+string(s.Name), "", "is removed")
		}
	}
}

func (f *findings) compareTenants(inForce, next *tenant.Directory) {
	switch {
	case inForce == nil && next == nil:
		return
	case next == nil:
		f.add(Warning, "tenants", "make sure that this is meant", "are removed; every route is open to all callers from then on")
		return
	case inForce == nil:
		f.add(Warning, "tenants", "make sure that callers have keys", "are new; requests without a key are refused with 401 on routes that are not public")
		inForce = tenant.New(nil)
	}
	former := make(map[ident.Tenant]tenant.Tenant)
	for _, t := range inForce.All() {
		former[t.Name] = t
	}
	for _, t := range next.All() {
		old, ok := former[t.Name]
		delete(former, t.Name)
		place := "tenants/" + string(t.Name)
		if !ok {
			f.add(Info, place, "", "is new, with %d keys", len(t.Keys))
			continue
		}
		f.compareKeys(place, old.Keys, t.Keys)
		if old.Limit != t.Limit {
			f.add(Info, place, "", "its limit changes from %g per second with a burst of %g to %g with %g", old.Limit.Rate, old.Limit.Burst, t.Limit.Rate, t.Limit.Burst)
		}
		if !reflect.DeepEqual(old.Priority, t.Priority) {
			f.add(Info, place, "", "its priority changes")
		}
	}
	for _, t := range inForce.All() {
		if _, removed := former[t.Name]; removed {
			f.add(Warning, "tenants/"+string(t.Name), "make sure that its callers know", "is removed; its %d keys stop working", len(t.Keys))
		}
	}
}

func (f *findings) compareKeys(place string, old, keys []tenant.Digest) {
	for _, k := range keys {
		if !slices.Contains(old, k) {
			f.add(Info, place, "", "key %s is new", Fingerprint(k))
		}
	}
	for _, k := range old {
		if !slices.Contains(keys, k) {
			f.add(Warning, place, "make sure that its callers have another one", "key %s stops working", Fingerprint(k))
		}
	}
}
