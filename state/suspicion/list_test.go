package suspicion

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/ident"
)

var start = time.Unix(1_800_000_000, 0)

func request(name string) fingerprint.Fingerprint {
	return fingerprint.Of("GET", "a.example", name, "", nil)
}

var fatal, sound, other, content = request("fatal"), request("sound"), request("other"), request("content")

// withContent gives all requests of an end the same content.
func withContent(e End) End {
	for i := range e.Requests {
		e.Requests[i].Content = content
	}
	return e
}

// runTime is the time for which requests have run at the ends of their endpoints.
const runTime = 20 * time.Millisecond

// end is the end of an endpoint at a time after start.
func end(endpoint int, at time.Duration, requests ...fingerprint.Fingerprint) (e End) {
	e = End{Endpoint: ident.Endpoint(fmt.Sprint("i-", endpoint)), StartMilli: 1, At: start.Add(at)}
	for _, p := range requests {
		e.Requests = append(e.Requests, InterruptedRequest{Request: p, Ran: runTime})
	}
	return e
}

// TestVerdicts guards against incident BUDGET (a whole request), and against the quarantine of requests that were in progress by chance.
func TestVerdicts(t *testing.T) {
	const s = time.Second
	type step struct {
		end End
		// survivals are the complete runs of sound that an entry has reported up to now.
		survivals int
		reporter  ident.Host
	}
	ends := func(list ...End) (steps []step) {
		for _, e := range list {
			steps = append(steps, step{end: e})
		}
		return steps
	}
	survivals := func(n int, reporter ident.Host) step { return step{survivals: n, reporter: reporter} }
	for _, c := range []struct {
		name  string
		steps []step
		want  []fingerprint.Fingerprint
	}{
		{"two ends", ends(end(1, 0, fatal), end(2, s, fatal)), nil},
		{"three ends", ends(end(1, 0, fatal), end(2, s, fatal), end(3, 2*s, fatal)), []fingerprint.Fingerprint{fatal}},
		{"three ends at once", ends(end(1, 0, fatal), end(2, 0, fatal), end(3, 0, fatal)), []fingerprint.Fingerprint{fatal}},
		{"one end reported by three entries", ends(end(1, 0, sound), end(1, 10*time.Millisecond, sound), end(1, s/2, sound)), nil},
		{"one endpoint whose next incarnations are not known", ends(end(1, 0, fatal), end(1, 3*s, fatal), end(1, 6*s, fatal)), []fingerprint.Fingerprint{fatal}},
		{"three requests, one of them at all ends", ends(end(1, 0, fatal, sound), end(2, s, fatal, other), end(3, 2*s, fatal, sound)), []fingerprint.Fingerprint{fatal}},
		{"one is explained by the other, reported by other entries", ends(end(1, 0, fatal), end(1, 0, sound), end(2, s, fatal), end(2, s, sound), end(3, 2*s, fatal), end(3, 2*s, sound)),
			[]fingerprint.Fingerprint{fatal}},
		{"two that cannot be told apart", ends(end(1, 0, fatal, sound), end(2, s, fatal, sound), end(3, 2*s, fatal, sound)), []fingerprint.Fingerprint{fatal, sound}},
		{"late report of an end that is explained", ends(end(1, 0, fatal), end(2, s, fatal), end(3, 2*s, fatal), end(4, 3*s, fatal), end(2, s, sound), end(3, 2*s, sound), end(4, 3*s, sound)),
			[]fingerprint.Fingerprint{fatal}},
		{"three ends beside a complete run", append([]step{{end: end(1, 0, sound)}, survivals(1, "edge-1")}, ends(end(2, s, sound), end(3, 2*s, sound))...), nil},
		{"four ends beside a complete run", append([]step{{end: end(1, 0, sound)}, survivals(1, "edge-1")}, ends(end(2, s, sound), end(3, 2*s, sound), end(4, 3*s, sound))...),
			[]fingerprint.Fingerprint{sound}},
		{"complete runs before the first end", append([]step{survivals(9, "edge-1")}, ends(end(1, 0, sound), end(2, s, sound), end(3, 2*s, sound))...), []fingerprint.Fingerprint{sound}},
		{"complete runs at several entries", append(append(ends(end(1, 0, sound), end(2, s, sound)), survivals(1, "edge-1"), survivals(2, "edge-2"), survivals(1, "edge-1")), ends(end(3, 2*s, sound))...), nil},
		{"one content, other adapters", ends(withContent(end(1, 0, fatal)), withContent(end(2, s, sound)), withContent(end(3, 2*s, other))), []fingerprint.Fingerprint{content}},
		{"one content, one request", ends(withContent(end(1, 0, fatal)), withContent(end(2, s, fatal)), withContent(end(3, 2*s, fatal))), []fingerprint.Fingerprint{fatal}},
		{"one content, several requests at each end", ends(withContent(end(1, 0, fatal, sound)), withContent(end(2, s, sound, other)), withContent(end(3, 2*s, fatal, other))), nil},
		{"one content, several requests at an end that entries report one by one", ends(withContent(end(1, 0, fatal)), withContent(end(2, s, sound)), withContent(end(3, 2*s, other)), withContent(end(3, 2*s, fatal))), nil},
		{"a complete run after the verdict", append(ends(end(1, 0, sound), end(2, s, sound), end(3, 2*s, sound)), survivals(1, "edge-1")), []fingerprint.Fingerprint{sound}},
		{"a complete run after a verdict on one incident", append(ends(end(1, 0, sound), end(2, 0, sound), end(3, 0, sound)), survivals(1, "edge-1")), nil},
		{"complete runs after the verdict", append(ends(end(1, 0, sound), end(2, s, sound), end(3, 2*s, sound)), survivals(3, "edge-1")), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New()
			for _, x := range c.steps {
				if x.survivals > 0 {
					l.RecordSurvivals(sound, x.reporter, x.survivals)
				} else {
					l.RecordEnd(x.end.At, x.end)
				}
			}
			if len(l.Verdicts()) != len(c.want) {
				t.Errorf("%d requests are in quarantine, want %d: %+v", len(l.Verdicts()), len(c.want), l.Verdicts())
			}
			for _, p := range c.want {
				if _, ok := l.Find(p); !ok {
					t.Errorf("%v is not in quarantine", p)
				}
			}
		})
	}
}

// TestProbations guards against a request that is never sent again although endpoints survive it now, and against more sends in a day than
// operators tolerate.
func TestProbations(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  time.Duration
		want []time.Duration
	}{
		{"independent ends", time.Second, []time.Duration{2*time.Second + firstProbation, 2*time.Second + firstProbation + nextProbation}},
		{"one after the other at once", 2 * runTime, []time.Duration{firstProbation + time.Second, firstProbation + time.Second + nextProbation}},
		{"one incident", 0, []time.Duration{soonProbation, soonProbation + nextProbation}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New()
			for i := range 3 {
				l.RecordEnd(start.Add(time.Duration(i)*c.gap), end(i, time.Duration(i)*c.gap, fatal))
			}
			var taken []time.Duration
			for at := time.Duration(0); at < 48*time.Hour; at += time.Second {
				v, ok := l.Find(fatal)
				if !ok {
					t.Fatal("the request is not in quarantine")
				}
				l.Expire(start.Add(at))
				if v.ProbationDue(start.Add(at)) {
					taken = append(taken, at)
					l.Restore(v.TakeProbation(start.Add(at)))
					l.RecordEnd(start.Add(at), end(100+len(taken), at, fatal))
				}
			}
			if fmt.Sprint(taken) != fmt.Sprint(c.want) {
				t.Errorf("probations at %v, want %v", taken, c.want)
			}
		})
	}
}

// TestLiftedRequestNeedsNewEnds guards against a request that is put in quarantine again by the ends before its release, and against one that
// is never put in quarantine again.
func TestLiftedRequestNeedsNewEnds(t *testing.T) {
	l := New()
	for i := range 3 {
		l.RecordEnd(start, end(i, time.Duration(i)*time.Second, fatal))
	}
	if !l.Lift(fatal) {
		t.Fatal("the request was not in quarantine")
	}
	l.RecordEnd(start, end(3, 3*time.Second, fatal))
	l.RecordEnd(start, end(4, 4*time.Second, fatal))
	if _, ok := l.Find(fatal); ok {
		t.Error("the request is in quarantine after two new ends")
	}
	l.RecordEnd(start, end(5, 5*time.Second, fatal))
	if _, ok := l.Find(fatal); !ok {
		t.Error("the request is not in quarantine after three new ends")
	}
}

// TestListIsBounded guards against memory that grows with the requests that callers invent.
func TestListIsBounded(t *testing.T) {
	l, now := New(), start
	for i := range 3 * maxSuspects {
		now = now.Add(time.Second / 100)
		l.RecordEnd(now, End{Endpoint: ident.Endpoint(fmt.Sprint(i)), At: now, Requests: []InterruptedRequest{{Request: request(fmt.Sprint(i))}, {Request: request(fmt.Sprint("x", i))}}})
	}
	if len(l.suspects) > maxSuspects || len(l.ends) > maxEnds {
		t.Errorf("%d suspects and %d ends are kept", len(l.suspects), len(l.ends))
	}
	for i := range maxVerdicts + 100 {
		l.Restore(Verdict{Request: request(fmt.Sprint("v", i)), Since: now.Add(time.Duration(i))})
	}
	if len(l.verdicts) > maxVerdicts {
		t.Errorf("%d verdicts are kept", len(l.verdicts))
	}
	for p := range l.verdicts {
		l.Lift(p)
	}
	l.Expire(now.Add(time.Hour))
	if !l.Empty() {
		t.Errorf("%d suspects are left after an hour", len(l.suspects))
	}
}

// fleet is many entries, each with its own list, that learn of each other's evidence after a delay.
type fleet struct {
	lists  []*List
	queue  []message
	random *rand.Rand
}

// message is evidence on its way to all entries.
type message struct {
	due      time.Time
	from     int
	end      *End
	survived fingerprint.Fingerprint
	lifted   bool
	count    int
}

func newFleet(entries int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1))}
	for range entries {
		f.lists = append(f.lists, New())
	}
	return f
}

// deliver applies the evidence that is due.
func (f *fleet) deliver(now time.Time) {
	n := 0
	for ; n < len(f.queue) && !f.queue[n].due.After(now); n++ {
		m := f.queue[n]
		for i, l := range f.lists {
			if i == m.from {
				continue
			}
			switch {
			case m.end != nil:
				l.RecordEnd(now, *m.end)
			case m.lifted:
				l.Lift(m.survived)
			default:
				l.RecordSurvivals(m.survived, ident.Host(fmt.Sprint(m.from)), m.count)
			}
		}
	}
	f.queue = f.queue[n:]
}

// TestFatalRequestAtManyEntries guards against a verdict that needs more ends the more entries there are.
func TestFatalRequestAtManyEntries(t *testing.T) {
	const delay, contact = 200 * time.Millisecond, 3 * time.Second
	for _, entries := range []int{1, 4, 40, 400} {
		f := newFleet(entries, 1)
		var ends []time.Time
		for at := time.Duration(0); at < 20*time.Second; at += 50 * time.Millisecond {
			now := start.Add(at)
			f.deliver(now)
			i := f.random.IntN(entries)
			if _, ok := f.lists[i].Find(fatal); ok {
				continue
			}
			ends = append(ends, now)
			e := end(len(ends), at, fatal, request(fmt.Sprint(at)))
			f.lists[i].RecordEnd(now, e)
			f.queue = append(f.queue, message{due: now.Add(delay), from: i, end: &e})
		}
		late := 0
		for _, x := range ends {
			if x.Sub(ends[2]) > contact {
				late++
			}
		}
		if late > 0 || len(ends) > 3+int(delay/(50*time.Millisecond)) {
			t.Errorf("%d entries: %d endpoints ended, %d of them late", entries, len(ends), late)
		}
	}
}

// TestPopularRequestAmongEnds guards against the quarantine of a request that half of all callers send, in the simulation of entries that hear
// of each other late, while endpoints end for other reasons, one by one and several at once.
func TestPopularRequestAmongEnds(t *testing.T) {
	const (
		delay = 200 * time.Millisecond
		// complete runs take longer than those that end with their endpoint.
		completeTime = 5 * runTime
		tick         = 25 * time.Millisecond
		// survivors is the number of endpoints that go on.
		survivors = 3
	)
	sent, refused := 0, 0
	for seed := range uint64(40) {
		f := newFleet(4, seed)
		// completions has the times at which runs at the endpoints that go on are complete.
		var completions []time.Time
		complete := func(now time.Time, i int) {
			if n, c, ok := f.lists[i].CountSurvival(sound, ident.Host(fmt.Sprint(i))); ok {
				f.queue = append(f.queue, message{due: now.Add(delay), from: i, survived: sound, count: n})
				if c.Released {
					f.queue = append(f.queue, message{due: now.Add(delay), from: i, lifted: true, survived: sound})
				}
			}
		}
		for at := time.Duration(0); at < time.Minute; at += tick {
			now := start.Add(at)
			f.deliver(now)
			for len(completions) > 0 && !completions[0].After(now) {
				completions = completions[1:]
				complete(now, f.random.IntN(len(f.lists)))
			}
			i := f.random.IntN(len(f.lists))
			if f.random.Float64() < 0.01 {
				// Up to three endpoints end at once; the request is in progress at each endpoint with probability 1/2.
				for k := range 1 + f.random.IntN(3) {
					if f.random.IntN(2) == 0 {
						e := end(int(at/time.Millisecond)*10+k, at, sound)
						f.lists[i].RecordEnd(now, e)
						f.queue = append(f.queue, message{due: now.Add(delay), from: i, end: &e})
					}
				}
				for range survivors {
					if f.random.IntN(2) == 0 {
						completions = append(completions, now.Add(completeTime))
					}
				}
				continue
			}
			if f.random.IntN(2) == 0 {
				continue // another request
			}
			sent++
			if v, ok := f.lists[i].Find(sound); ok {
				if !v.ProbationDue(now) {
					refused++
					continue
				}
				f.lists[i].Lift(sound)
				f.queue = append(f.queue, message{due: now.Add(delay), from: i, lifted: true, survived: sound})
			}
			complete(now, i)
		}
	}
	t.Logf("%d of %d requests were refused", refused, sent)
	if refused > sent/100 {
		t.Errorf("%d of %d requests were refused, one in a hundred may be", refused, sent)
	}
}
