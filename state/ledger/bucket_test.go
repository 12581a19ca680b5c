package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// driver keeps the stored values of one bucket for the table tests.
type driver struct {
	*Bucket
	now    time.Time
	values map[string][]byte
	at     ident.Revision
	last   []Command
	result WriteResult
}

// testConfig commits without pacing, because the clock of the table tests stands still.
func testConfig() Config {
	c := DefaultConfig()
	c.CommitInterval = 0
	return c
}

func newDriver(t *testing.T, c Config) *driver {
	t.Helper()
	d := &driver{Bucket: New("a", c), now: epochStart, values: map[string][]byte{}}
	d.play(Acquire{})
	if !d.Owned() {
		t.Fatal("bucket was not taken over")
	}
	return d
}

// play steps and answers reads and writes until none is left; replies are kept in last.
func (d *driver) play(list ...Event) {
	d.last = nil
	for len(list) > 0 {
		ev := list[0]
		list = list[1:]
		for _, c := range d.Step(d.now, ev) {
			d.last = append(d.last, c)
			list = append(list, d.serve(c)...)
		}
	}
}

func (d *driver) serve(c Command) []Event {
	switch x := c.(type) {
	case ReadValue:
		return []Event{ValueRead{Sequence: x.Sequence, Found: d.at > 0, Value: d.values["active"], Revision: d.at}}
	case ReadSegments:
		e := SegmentsRead{Sequence: x.Sequence}
		for _, n := range x.Names {
			e.Values = append(e.Values, d.values[n])
		}
		return []Event{e}
	case WriteSegment:
		d.values[x.Name] = x.Value
		return []Event{SegmentWritten{x.Name, true}}
	case DeleteSegment:
		delete(d.values, x.Name)
	case WriteValue:
		if d.result == Swapped {
			d.at++
			d.values["active"] = x.Value
		}
		return []Event{ValueWritten{x.WriteID, d.result, d.at}}
	}
	return nil
}

func try(r string, n ident.Try) ident.TryID {
	return ident.TryID{RequestID: ident.RequestID(r), Try: n, Incarnation: 7}
}

func intendOf(id ident.TryID) Intend {
	return Intend{Token: 1, Caller: "c", Key: "k", Digest: []byte("d"), ID: id, Endpoint: "e"}
}

func concludeOf(id ident.TryID, o outcome.Outcome) Conclude {
	return Conclude{Token: 2, Caller: "c", Key: "k", ID: id, Outcome: o, Answer: &Answer{Status: 200}}
}

func settledOf(id ident.TryID, s TryState) Settled {
	return Settled{Caller: "c", Key: "k", ID: id, State: s, Answer: &Answer{Status: 200}}
}

func claimOf(id ident.TryID, found bool, inc ident.Incarnation) ClaimRead {
	return ClaimRead{Caller: "c", Key: "k", ID: id, Found: found, Incarnation: inc}
}

func (d *driver) decision() (v Decision) {
	for _, c := range d.last {
		if r, ok := c.(IntendReply); ok {
			v = r.Decision
		}
	}
	return v
}

// Guards against a wrong decision for a repeated key in each state of its record.
func TestDecisions(t *testing.T) {
	r1, r2, next := try("r1", 1), try("r2", 1), try("r1", 2)
	other := intendOf(r2)
	other.Digest = []byte("x")
	cases := []struct {
		name   string
		events []Event
		want   Decision
	}{
		{"first use", []Event{intendOf(r1)}, Granted},
		{"same try again", []Event{intendOf(r1), intendOf(r1)}, Granted},
		{"another body", []Event{intendOf(r1), other}, Mismatch},
		{"completed", []Event{intendOf(r1), concludeOf(r1, outcome.Completed), intendOf(r2)}, AlreadyCompleted},
		{"unknown", []Event{intendOf(r1), concludeOf(r1, outcome.Unknown), intendOf(r2)}, MayHaveRun},
		{"unknown, later completed", []Event{intendOf(r1), concludeOf(r1, outcome.Unknown),
			concludeOf(r1, outcome.Completed), intendOf(r2)}, AlreadyCompleted},
		{"not run, other request", []Event{intendOf(r1), concludeOf(r1, outcome.NotRun), intendOf(r2)}, Granted},
		{"not run, same try", []Event{intendOf(r1), concludeOf(r1, outcome.NotRun), intendOf(r1)}, InProgress},
		{"not run, next try", []Event{intendOf(r1), concludeOf(r1, outcome.NotRun), intendOf(next)}, Granted},
		{"next try before settling", []Event{intendOf(r1), intendOf(next)}, 0},
		{"next try, earlier running", []Event{intendOf(r1), intendOf(next), settledOf(r1, TryRunning)}, InProgress},
		{"next try, earlier never started", []Event{intendOf(r1), intendOf(next), settledOf(r1, TryNeverStarted)}, Granted},
		{"earlier try after the next", []Event{intendOf(r1), concludeOf(r1, outcome.NotRun), intendOf(next), intendOf(r1)}, InProgress},
		{"repeat, completed at agent", []Event{intendOf(r1), intendOf(r2), settledOf(r1, TryCompleted)}, AlreadyCompleted},
		{"repeat, agent cannot tell", []Event{intendOf(r1), intendOf(r2), settledOf(r1, TryUnknown)}, MayHaveRun},
		{"repeat, agent away, claim held", []Event{intendOf(r1), intendOf(r2), settledOf(r1, TryUnreachable), claimOf(r1, true, 7)}, InProgress},
		{"repeat, agent away, claim gone", []Event{intendOf(r1), intendOf(r2), settledOf(r1, TryUnreachable), claimOf(r1, false, 0)}, MayHaveRun},
		{"repeat, agent away, claim newer", []Event{intendOf(r1), intendOf(r2), settledOf(r1, TryUnreachable), claimOf(r1, true, 9)}, MayHaveRun},
		{"concluded while settling", []Event{intendOf(r1), intendOf(r2), concludeOf(r1, outcome.Completed), settledOf(r1, TryNeverStarted)}, AlreadyCompleted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDriver(t, testConfig())
			for _, ev := range c.events {
				d.play(ev)
			}
			if got := d.decision(); got != c.want {
				t.Errorf("decision %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against a grant whose intent is not durable, for each result of the write.
func TestGrantFollowsWrite(t *testing.T) {
	for _, c := range []struct {
		name    string
		result  WriteResult
		applied bool
		want    Decision
	}{
		{"down", Down, false, Unavailable},
		{"answer lost, not applied", Lost, false, Unavailable},
		{"answer lost, applied", Lost, true, Granted},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDriver(t, testConfig())
			write := d.Step(d.now, intendOf(try("r1", 1)))[0].(WriteValue)
			if c.applied {
				d.at++
				d.values["active"] = write.Value
			}
			d.play(ValueWritten{write.WriteID, c.result, 0})
			if got := d.decision(); got != c.want {
				t.Errorf("decision %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against calls that wait for a service that is down.
func TestRefusesAtOnceWhileDown(t *testing.T) {
	d := newDriver(t, testConfig())
	d.result = Down
	d.play(intendOf(try("r1", 1)))
	e := intendOf(try("r2", 1))
	e.Key = "k2"
	d.play(e)
	if len(d.last) != 1 || d.decision() != Unavailable || d.last[0].(IntendReply).RetryAfter <= 0 {
		t.Fatalf("got %v, want one refusal with a retry-after time", d.last)
	}
}

// Guards against calls that wait for a service that does not answer a write.
func TestRefusesWhileSlow(t *testing.T) {
	d := newDriver(t, testConfig())
	d.Step(d.now, intendOf(try("r1", 1)))
	d.now = d.now.Add(time.Second)
	d.play(Tick{})
	if d.decision() != Unavailable {
		t.Fatalf("got %v, want a refusal", d.last)
	}
}

// Guards against a former owner that goes on after another process has taken the bucket over.
func TestFormerOwnerLosesBucket(t *testing.T) {
	d := newDriver(t, testConfig())
	other := &driver{Bucket: New("b", testConfig()), now: d.now, values: d.values, at: d.at}
	other.play(Acquire{})
	d.at, d.result = other.at, Conflict
	d.play(intendOf(try("r1", 1)))
	reply := d.last[len(d.last)-2].(IntendReply)
	if d.Owned() || reply.Decision != NotOwner || reply.Owner != "b" {
		t.Fatalf("owned %v, reply %+v", d.Owned(), reply)
	}
}

// Guards against records that are lost when they move to a segment, on takeover and after the retention.
func TestSegments(t *testing.T) {
	c := testConfig()
	c.SealBytes = 1 << 10
	d := newDriver(t, c)
	largest := 0
	for i := range 50 {
		e, o := intendOf(try("r1", 1)), concludeOf(try("r1", 1), outcome.Completed)
		e.Key = ident.Key(fmt.Sprintf("k%d", i))
		o.Key = e.Key
		d.play(e)
		d.play(o)
		largest = max(largest, len(d.values["active"]))
	}
	if len(d.values) < 4 || largest > 5*c.SealBytes {
		t.Fatalf("%d values, the active value reached %d bytes", len(d.values), largest)
	}
	next := &driver{Bucket: New("b", c), now: d.now, values: d.values, at: d.at}
	next.play(Acquire{})
	for i := range 50 {
		e := intendOf(try("r2", 1))
		e.Key = ident.Key(fmt.Sprintf("k%d", i))
		if next.play(e); next.decision() != AlreadyCompleted {
			t.Fatalf("key %d: decision %d after takeover", i, next.decision())
		}
	}
	next.now = next.now.Add(c.Retention + 3*ClockMargin)
	next.play(intendOf(try("r3", 1)))
	next.play(concludeOf(try("r3", 1), outcome.NotRun)) // a segment sealed at the takeover is dropped by the second write
	var v Value
	if err := json.Unmarshal(next.values["active"], &v); err != nil || len(v.Segments) != 0 || len(v.Records) != 1 {
		t.Fatalf("%d segments and %d records after the retention, error %v", len(v.Segments), len(v.Records), err)
	}
}

// Guards against a value beyond the service's limit: intents are refused and outcomes still fit.
func TestValueLimit(t *testing.T) {
	c := testConfig()
	c.MaxValueBytes = 64 << 10
	d := newDriver(t, c)
	var ids []Intend
	for i := range 100 {
		e := intendOf(try("r1", 1))
		e.Key = ident.Key(fmt.Sprintf("k%d", i))
		if d.play(e); d.decision() == Granted {
			ids = append(ids, e)
		}
	}
	if len(ids) == 0 || len(ids) == 100 {
		t.Fatalf("%d intents were granted", len(ids))
	}
	for _, e := range ids {
		o := concludeOf(e.ID, outcome.Completed)
		o.Key, o.Answer = e.Key, &Answer{Status: 200, Body: make([]byte, MaxAnswerBytes)}
		d.play(o)
		if len(d.values["active"]) > c.MaxValueBytes {
			t.Fatalf("active value of %d bytes", len(d.values["active"]))
		}
	}
}

// Guards against a dispute over a key older than the retention.
func TestKeyAge(t *testing.T) {
	d := newDriver(t, testConfig())
	milli := fmt.Sprintf("%012x", epochStart.UnixMilli())
	key := ident.Key(milli[:8] + "-" + milli[8:] + "-7000-8000-000000000000")
	e := intendOf(try("r1", 1))
	e.Key = key
	if d.play(e); d.decision() != Granted {
		t.Fatalf("new key: decision %d", d.decision())
	}
	d.now = d.now.Add(25 * time.Hour)
	if d.play(e); d.decision() != Expired {
		t.Fatalf("old key: decision %d", d.decision())
	}
	if KeyExpired(ident.Key(strings.Replace(string(key), "-7", "-4", 1)), d.now, time.Hour) {
		t.Error("a UUID version 4 carries no time")
	}
}

// Guards against an invariant that is not reported: a superseded try that has run.
func TestSupersededTryRan(t *testing.T) {
	d := newDriver(t, testConfig())
	d.play(intendOf(try("r1", 1)))
	d.play(intendOf(try("r2", 1)))
	d.play(settledOf(try("r1", 1), TryNeverStarted))
	d.play(concludeOf(try("r1", 1), outcome.Completed))
	v, ok := d.last[len(d.last)-1].(Violation)
	var ie *InvariantError
	if !ok || !errors.As(v.Err, &ie) || ie.Invariant != SupersededRan || d.Owned() {
		t.Fatalf("got %v", d.last)
	}
}

// Guards against a write rate that grows with the number of requests.
func TestCommitInterval(t *testing.T) {
	d := newDriver(t, DefaultConfig())
	d.play(intendOf(try("r1", 1)))
	w, ok := d.last[len(d.last)-1].(Wake)
	if !ok || w.After != DefaultConfig().CommitInterval || d.decision() != 0 {
		t.Fatalf("got %v, want a wait", d.last)
	}
	d.now = d.now.Add(w.After)
	if d.play(Tick{}); d.decision() != Granted {
		t.Fatalf("got %v, want a grant", d.last)
	}
}

// Guards against a planned handover that leaves the bucket with its former owner.
func TestRelease(t *testing.T) {
	d := newDriver(t, testConfig())
	d.play(intendOf(try("r1", 1)))
	d.play(Release{})
	var v Value
	if err := json.Unmarshal(d.values["active"], &v); err != nil || v.Owner != "" || len(v.Records) != 1 || !d.Idle() {
		t.Fatalf("value %+v, idle %v, error %v", v, d.Idle(), err)
	}
}
