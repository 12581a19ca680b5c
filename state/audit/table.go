package audit

import (
	"strings"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/routing"
)

const (
	// maxPriority is the last rank that endpoints know; larger ones count as it.
	maxPriority = 9
	// minTimeout is the remaining time below which entries do not send a request any more, in milliseconds.
	minTimeoutMilli = 30
)

// Table examines a configuration of the platform form.
func Table(t *routing.Table) (list []Finding) {
	var f findings
	f.checkRoutes(t)
	f.checkServices(t)
	f.checkTenants(t)
	f.checkLimits(t)
	Sort(f)
	return f
}

func (f *findings) checkRoutes(t *routing.Table) {
	type match struct{ host, prefix string }
	first, names := make(map[match]string), make(map[string]bool)
	for _, r := range t.Routes() {
		place := "routes/" + r.Name
		if names[r.Name] {
			f.add(Warning, place, "give each route a name of its own", "another route has the same name; logs do not tell them apart")
		}
		names[r.Name] = true
		if r.Host == "" {
			f.add(Error, place, "name a host", "the route has no host, so it matches no request")
		}
		if !strings.HasPrefix(r.Prefix, "/") {
			f.add(Error, place, "begin the prefix with a slash", "prefix %q begins no path, so the route matches no request", r.Prefix)
		} else if !strings.HasSuffix(r.Prefix, "/") {
			f.add(Warning, place, "end the prefix with a slash", "prefix %q also matches longer words than its last one", r.Prefix)
		}
		m := match{r.Host, r.Prefix}
		if other, ok := first[m]; ok {
			f.add(Error, place, "remove one of them", "never matches: route %s has the same host and prefix and comes first", other)
		} else {
			first[m] = r.Name
		}
		f.checkTargets(t, r, place)
		f.checkTimes(r, place)
	}
}

func (f *findings) checkTargets(t *routing.Table, r routing.Route, place string) {
	usable := 0
	for _, x := range r.Targets {
		_, declared := t.Services[x.Service]
		switch {
		case !declared:
			f.add(Error, place, "declare the service or correct its name", "service %q is not declared; entries refuse its share of the requests", x.Service)
		case !(x.Weight > 0):
			f.add(Warning, place, "remove the service from the route or give it a weight", "service %q has weight %g and gets no requests", x.Service, x.Weight)
			continue
		}
		usable++
	}
	if usable == 0 {
		f.add(Error, place, "give a service a positive weight", "no service has a positive weight; entries refuse all requests")
	}
}

func (f *findings) checkTimes(r routing.Route, place string) {
	switch {
	case r.Timeout < 0:
		f.add(Error, place, "state a positive timeout", "the timeout of %s is negative; entries use their default", r.Timeout)
	case r.Timeout > 0 && r.Timeout.Milliseconds() <= minTimeoutMilli:
		f.add(Error, place, "state a longer timeout", "the timeout of %s leaves no time to send a request; entries refuse all", r.Timeout)
	case r.Timeout > 0 && r.LatencyGoal > r.Timeout:
		f.add(Error, place, "lower the latency goal or raise the timeout", "the latency goal of %s is longer than the timeout of %s", r.LatencyGoal, r.Timeout)
	}
	if r.Kind == routing.Once && r.MaxEndpoints > 1 {
		f.add(Info, place, "", "up to %d endpoints are allowed, but requests that run once go to another one only if the former has certainly not run them", r.MaxEndpoints)
	}
	if r.Priority < 0 || r.Priority > maxPriority {
		f.add(Warning, place, "use a priority from 0 to 9", "priority %d is outside 0 to %d", r.Priority, maxPriority)
	}
}

func (f *findings) checkServices(t *routing.Table) {
	used := make(map[ident.Service]bool)
	for _, r := range t.Routes() {
		for _, x := range r.Targets {
			used[x.Service] = used[x.Service] || x.Weight > 0
		}
	}
	for _, s := range t.ServiceList() {
		place := "services/" + string(s.Name)
		if !used[s.Name] {
			f.add(Warning, place, "remove it, or lead a route to it", "no route leads to the service")
		}
		if s.Connections < 0 {
			f.add(Error, place, "state a positive number or none", "%d connections are allowed; entries take it for no limit", s.Connections)
		}
		if s.Engine != nil {
			f.checkEngine(*s.Engine, place)
		}
	}
}

func (f *findings) checkEngine(e routing.Engine, place string) {
	m, ok := e.Model()
	switch {
	case !ok:
		f.add(Error, place, "list a base model", "its engines have no base model; agents load nothing")
		return
	case !e.HoldsModel():
		f.add(Error, place, "use larger engines or a smaller model", "base model %s of %g MB does not fit into an engine of %g MB", m.Name, float64(m.Size), float64(e.Memory))
	case e.AdapterSlots() == 0:
		f.add(Error, place, "raise the number of adapters or the memory", "no adapter fits beside base model %s; entries refuse requests for adapters", m.Name)
	case e.AdapterSlots() < e.Adapters:
		f.add(Info, place, "", "%d adapters are allowed, and memory for %d is left beside base model %s", e.Adapters, e.AdapterSlots(), m.Name)
	}
	if len(e.Models) > 1 {
		f.add(Warning, place, "list one base model for each service", "agents load only the first of %d base models", len(e.Models))
	}
	if e.BatchSize <= 0 {
		f.add(Error, place, "state the number of requests that an engine runs at once", "%d requests at once are allowed at an engine", e.BatchSize)
	}
}

func (f *findings) checkLimits(t *routing.Table) {
	if t.Limits.BodyBytes < 0 || t.Limits.HeaderBytes < 0 || t.Limits.IdleTimeout < 0 {
		f.add(Error, "limits", "state positive limits or none", "a negative limit counts as none; entries use their default")
	}
	if t.Limits.HeaderBytes > 0 && t.Limits.HeaderBytes < 1024 {
		f.add(Error, "limits", "allow at least some KiB", "%d bytes of headers are less than most callers send", t.Limits.HeaderBytes)
	}
}
