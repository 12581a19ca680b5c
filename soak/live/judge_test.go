package live

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"shallotring.dev/platform/standin"
)

// Guards against a judge that does not see a violation, or sees one in what is allowed: each case is one request of a caller.
func TestJudge(t *testing.T) {
	t.Parallel()
	const id = "c-1"
	order := func(j *judge) *call {
		c := &call{id: id, entry: &entry{process: &process{host: "edge-0"}}, life: 1, method: http.MethodPost, target: "/o/order", timeout: time.Second}
		j.sent(c)
		return c
	}
	run := standin.Arrival{Engine: "plain-0-1", Service: "plain-0", ID: id, Method: http.MethodPost, Target: "/o/order", Ran: true}
	other := run
	other.Body = "smuggled"
	elsewhere := run
	elsewhere.Service = "plain-1"
	refusal := answer{status: http.StatusServiceUnavailable, complete: true, header: http.Header{"Retry-After": {"1"}}}
	success := func(c *call) answer {
		a := answer{status: http.StatusOK, complete: true, body: c.expected(), header: http.Header{}}
		standin.Certify(a.header, id)
		return a
	}
	for _, c := range []struct {
		name string
		play func(j *judge, c *call)
		rule string
	}{
		{"served", func(j *judge, c *call) { j.arrived(nil, run); j.answered(c, success(c)) }, ""},
		{"runs twice", func(j *judge, _ *call) { j.arrived(nil, run); j.arrived(nil, run) }, "once"},
		{"repeatable runs twice", func(j *judge, c *call) { c.kind = repeatable; j.arrived(nil, run); j.arrived(nil, run) }, ""},
		{"refused", func(j *judge, c *call) { j.answered(c, refusal) }, ""},
		{"refused after its run", func(j *judge, c *call) { j.arrived(nil, run); j.answered(c, refusal) }, "refusals"},
		{"runs after its refusal", func(j *judge, c *call) { j.answered(c, refusal); j.arrived(nil, run) }, "refusals"},
		{"refused without a time", func(j *judge, c *call) { a := refusal; a.header = nil; j.answered(c, a) }, "refusals"},
		{"another body", func(j *judge, _ *call) { j.arrived(nil, other) }, "unasked"},
		{"another service", func(j *judge, _ *call) { j.arrived(nil, elsewhere) }, "route"},
		{"nobody's request", func(j *judge, _ *call) { a := run; a.ID = "x"; j.arrived(nil, a) }, "unasked"},
		{"another answer", func(j *judge, c *call) { a := success(c); a.body += "x"; j.answered(c, a) }, "answers"},
		{"cut short as if complete", func(j *judge, c *call) { a := success(c); a.body = a.body[:3]; j.answered(c, a) }, "answers"},
		{"broken off in a calm time", func(j *judge, c *call) { j.arrived(nil, run); j.answered(c, answer{err: errors.New("reset")}) }, "lost"},
		{"read and broken off", func(j *judge, c *call) {
			c.sent = c.sent.Add(-time.Second / 2)
			j.answered(c, answer{err: errors.New("reset")})
		}, "lost"},
		{"not read", func(j *judge, c *call) { j.answered(c, answer{err: errors.New("reset")}) }, ""},
		{"broken off under a fault", func(j *judge, c *call) {
			j.disturb()
			j.arrived(nil, run)
			j.answered(c, answer{err: errors.New("reset")})
		}, ""},
		{"broken off by a planned stop", func(j *judge, c *call) {
			j.stops(life{"edge-0", 1})
			j.arrived(nil, run)
			j.answered(c, answer{err: errors.New("reset")})
		}, "lost"},
		{"not read by a planned stop", func(j *judge, c *call) {
			j.stops(life{"edge-0", 1})
			j.answered(c, answer{err: errors.New("reset")})
		}, ""},
		{"late on a busy machine", func(j *judge, c *call) {
			c.sent = c.sent.Add(-2 * time.Second)
			j.starved()
			j.answered(c, refusal)
		}, ""},
		{"runs twice on a busy machine", func(j *judge, _ *call) { j.starved(); j.arrived(nil, run); j.arrived(nil, run) }, "once"},
		{"no route", func(j *judge, c *call) { j.answered(c, answer{status: http.StatusNotFound, complete: true}) }, "denied"},
		{"late", func(j *judge, c *call) { c.sent = c.sent.Add(-2 * time.Second); j.answered(c, refusal) }, "time"},
		{"runs at an endpoint that has left", func(j *judge, _ *call) {
			j.leaving[run.Engine] = time.Now().Add(-3 * time.Second)
			j.arrived(nil, run)
		}, "drain"},
		{"runs at an endpoint that is leaving", func(j *judge, _ *call) { j.leaves(run.Engine); j.arrived(nil, run) }, ""},
		{"removed route", func(j *judge, c *call) {
			c.version = 2
			j.configurations = []declared{{2, c.sent.Add(-10 * time.Second)}, {4, c.sent.Add(-3 * time.Second)}}
			j.arrived(nil, run)
		}, "configuration"},
		{"route not in force", func(j *judge, c *call) {
			c.version = 2
			j.configurations = []declared{{2, c.sent.Add(-3 * time.Second)}}
			j.answered(c, answer{status: http.StatusNotFound, complete: true})
		}, "configuration"},
		{"configuration goes back", func(j *judge, c *call) {
			c.version = 2
			j.configurations = []declared{{2, c.sent.Add(-time.Second)}}
			j.proven[life{"edge-0", 1}] = declared{2, c.sent.Add(-time.Second)}
			j.answered(c, answer{status: http.StatusNotFound, complete: true})
		}, "configuration"},
		{"old version", func(j *judge, c *call) {
			c.kind, c.model = generation, "base/a1"
			j.adapters["a1"] = []declared{{2, time.Now().Add(-6 * time.Second)}}
			a := run
			a.Service, a.Model, a.Version = "llm", "base/a1", "1"
			j.arrived(nil, a)
		}, "version"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var out strings.Builder
			j := newJudge(&out)
			j.calm = time.Now().Add(-time.Minute)
			c.play(j, order(j))
			if got, _, _ := strings.Cut(out.String(), ":"); c.rule == "" && got != "" || c.rule != "" && !strings.HasSuffix(got, "of "+c.rule) {
				t.Errorf("the judge says %q, want a violation of %q", out.String(), c.rule)
			}
		})
	}
}

// Guards against repeats that are not counted, or counted for requests of their own.
func TestBudgetIsJudged(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		repeats, violations int
	}{{standin.RepeatExtra + 19, 0}, {standin.RepeatExtra + 21, 1}} {
		var out strings.Builder
		j := newJudge(&out)
		at := time.Now()
		for i := range 100 {
			j.requests["s"] = append(j.requests["s"], at.Add(time.Duration(i)*time.Millisecond))
			j.arrivals["s"] = append(j.arrivals["s"], arrival{at: at.Add(time.Duration(i) * time.Millisecond)})
		}
		for i := range c.repeats {
			j.arrivals["s"] = append(j.arrivals["s"], arrival{at: at.Add(time.Second + time.Duration(i)*time.Millisecond), repeat: true})
		}
		if j.budget(); j.violations != c.violations {
			t.Errorf("%d repeats: %d violations: %s", c.repeats, j.violations, out.String())
		}
	}
}
