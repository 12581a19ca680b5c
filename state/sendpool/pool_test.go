package sendpool

import (
	"testing"
	"time"

	"shallotring.dev/state/sendlimit"
)

func named(perSecond float64) sendlimit.Limit {
	return sendlimit.Limit{Named: true, PerSecond: perSecond}
}

// TestPoolFollowsTheLimit guards against a limit that is not known, or that outlives its end.
func TestPoolFollowsTheLimit(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		name  string
		steps func(p *Pool)
		want  sendlimit.Limit
	}{
		{"unknown", func(*Pool) {}, sendlimit.Limit{}},
		{"observed", func(p *Pool) { p.Observe(now, "e", named(2)) }, named(2)},
		{"changed upward", func(p *Pool) { p.Observe(now, "e", named(2)); p.Observe(now, "e", named(5)) }, named(5)},
		{"ended for an entry", func(p *Pool) { p.ObserveReport(now, "e", named(2)); p.Observe(now, "e", sendlimit.Limit{}) }, sendlimit.Limit{}},
		{"ended in reports", func(p *Pool) { p.ObserveReport(now, "e", named(2)); p.ObserveReport(now, "e", sendlimit.Limit{}) }, sendlimit.Limit{}},
		{"never named in reports", func(p *Pool) { p.Observe(now, "e", named(2)); p.ObserveReport(now, "e", sendlimit.Limit{}) }, named(2)},
		{"asked for by an entry", func(p *Pool) { p.Reserve(now, "e", named(3), 0) }, named(3)},
		{"restarted", func(p *Pool) { p.Observe(now, "e", named(2)); p.Forget("e") }, sendlimit.Limit{}},
		{"ended in reports, and an entry that asks does not know yet", func(p *Pool) {
			p.ObserveReport(now, "e", named(2))
			p.ObserveReport(now, "e", sendlimit.Limit{})
			p.Reserve(now.Add(100*time.Millisecond), "e", named(2), 0)
		}, sendlimit.Limit{}},
		{"ended for an entry, and another one that asks does not know yet", func(p *Pool) {
			p.Observe(now, "e", named(2))
			p.Observe(now, "e", sendlimit.Limit{})
			p.Reserve(now.Add(100*time.Millisecond), "e", named(2), 0)
		}, sendlimit.Limit{}},
		{"ended in reports, asked for late, and the next report names none", func(p *Pool) {
			p.ObserveReport(now, "e", named(2))
			p.ObserveReport(now, "e", sendlimit.Limit{})
			p.Reserve(now.Add(time.Minute), "e", named(2), 0)
			p.ObserveReport(now.Add(time.Minute), "e", sendlimit.Limit{})
		}, sendlimit.Limit{}},
		{"ended, and observed again", func(p *Pool) {
			p.ObserveReport(now, "e", named(2))
			p.ObserveReport(now, "e", sendlimit.Limit{})
			p.Observe(now, "e", named(3))
			p.Reserve(now, "e", named(3), 0)
		}, named(3)},
		{"ended, and known to an entry long after", func(p *Pool) {
			p.Observe(now, "e", named(2))
			p.Observe(now, "e", sendlimit.Limit{})
			p.Reserve(now.Add(time.Minute), "e", named(3), 0)
		}, named(3)},
		{"nobody asks", func(p *Pool) { p.Observe(now, "e", named(2)); p.Reserve(now.Add(2*expiry), "other", named(1), 0) }, sendlimit.Limit{}},
	} {
		p := New()
		c.steps(p)
		if got := p.Limit("e"); got != c.want {
			t.Errorf("%s: limit %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestPoolHandsOutTheSum guards against grants beyond the limit, whoever asks, and against a limit of 0 whose end nobody can notice.
func TestPoolHandsOutTheSum(t *testing.T) {
	for _, c := range []struct {
		name     string
		limit    sendlimit.Limit
		reported bool
		min, max int
	}{
		{"one per second", named(1), false, 38, 42},
		{"none, and reports tell the end", named(0), true, 0, 0},
		{"none, and only a request can tell the end", named(0), false, 7, 9},
		{"no limit", sendlimit.Limit{}, false, 4000, 4000},
	} {
		p, now, granted := New(), time.Unix(0, 0), 0
		if c.reported {
			p.ObserveReport(now, "e", c.limit)
		}
		for range 4000 {
			now = now.Add(10 * time.Millisecond)
			if g := p.Reserve(now, "e", c.limit, 0); g.Granted {
				granted++
			} else if g.Limit != c.limit || g.Wait <= 0 {
				t.Fatalf("%s: denied with %+v", c.name, g)
			}
		}
		if granted < c.min || granted > c.max {
			t.Errorf("%s: %d grants in 40 s", c.name, granted)
		}
	}
}
