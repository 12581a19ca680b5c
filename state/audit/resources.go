package audit

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

// Resources examines resources of the product's own form, each of which is valid by itself. They may be a part of a configuration, so a name that
// they do not declare is a warning only.
func Resources(list []any) []Finding {
	var f findings
	models, services := make(map[ident.BaseModel]bool), make(map[ident.Service]bool)
	tokens := make(map[string]ident.Caller)
	for _, x := range list {
		if e, ok := x.(*resource.Endpoint); ok && !e.Leaving {
			models[e.BaseModel], services[e.Service] = true, true
		}
	}
	for i, x := range list {
		n, _ := resource.NameOf(x)
		place := n.String()
		switch r := x.(type) {
		case *resource.Adapter:
			if !models[r.BaseModel] {
				f.add(Warning, place, "declare an engine with the base model, if none is in force", "no endpoint here has base model %s", r.BaseModel)
			}
		case *resource.Route:
			if !services[r.Service] {
				f.add(Warning, place, "declare an endpoint of the service, if none is in force", "no endpoint here belongs to service %s", r.Service)
			}
			f.checkShadow(list, i, r, place)
		case *resource.Caller:
			token := strings.ToLower(r.TokenSHA256)
			if other, ok := tokens[token]; ok {
				f.add(Error, place, "give each caller a token of its own", "caller %s has the same token", other)
			}
			tokens[token] = r.Name
		case *resource.Policy:
			f.checkPolicy(r, place)
		}
	}
	Sort(f)
	return f
}

// checkShadow finds the route that takes all requests of another one.
func (f *findings) checkShadow(list []any, i int, r *resource.Route, place string) {
	for j, x := range list {
		other, ok := x.(*resource.Route)
		if !ok || i == j || other.Service != r.Service || other.PathPrefix != r.PathPrefix || other.Name > r.Name {
			continue
		}
		if len(other.Methods) == 0 || len(r.Methods) > 0 && !slices.ContainsFunc(r.Methods, func(m string) bool { return !slices.Contains(other.Methods, m) }) {
			f.add(Error, place, "remove one of them", "never matches: route %s has the same service and prefix and comes first", other.Name)
			return
		}
	}
}

func (f *findings) checkPolicy(p *resource.Policy, place string) {
	if p.Name != resource.DefaultPolicyName {
		f.add(Warning, place, "name it "+resource.DefaultPolicyName, "only the policy named %s takes effect", resource.DefaultPolicyName)
	}
	if p.LoadStallWeight == 0 && p.BatchEfficiencyWeight == 0 {
		f.add(Warning, place, "set one of the weights", "both weights are zero, so neither load stalls nor batches matter")
	}
	if inFlight := p.LoadsPerSecond * time.Duration(p.LoadTime).Seconds(); p.LoadTime > 0 && float64(p.LoadsInFlight) < inFlight {
		f.add(Info, place, "", "%d loads in flight allow fewer than %g loads per second, since one takes %s", p.LoadsInFlight, p.LoadsPerSecond, time.Duration(p.LoadTime))
	}
}

// ResourceDifference lists what resources change against those in force; what they do not name stays in force.
func ResourceDifference(inForce, next []any) []Finding {
	var f findings
	former := make(map[resource.Name]any)
	for _, x := range inForce {
		n, _ := resource.NameOf(x)
		former[n] = x
	}
	for _, x := range next {
		n, _ := resource.NameOf(x)
		switch old, ok := former[n]; {
		case !ok:
			f.add(Info, n.String(), "", "is new")
		case !reflect.DeepEqual(old, x):
			a, b := reflect.Indirect(reflect.ValueOf(old)).Interface(), reflect.Indirect(reflect.ValueOf(x)).Interface()
			f.compareResource(n, a, b)
		}
	}
	return f
}

func (f *findings) compareResource(n resource.Name, old, next any) {
	a, ok := old.(resource.Caller)
	b, _ := next.(resource.Caller)
	if ok && a.TokenSHA256 != b.TokenSHA256 {
		f.add(Warning, n.String(), "make sure that the caller has the new one", "its former token stops working")
		a.TokenSHA256 = b.TokenSHA256
		old = a
	}
	if c := changes(old, next); c != "" {
		f.add(Info, n.String(), "", "changes: %s", c)
	}
}
