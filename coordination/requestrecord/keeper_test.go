package requestrecord

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/mirror"
	"shallotring.dev/coordination/sharedrecord/storetest"
	"shallotring.dev/protocol/control"
	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/suspicion"
)

// fakeQuarantine has what was applied to it.
type fakeQuarantine struct {
	verdicts map[fingerprint.Fingerprint]suspicion.Verdict
	evidence []control.Evidence
}

func newFakeQuarantine() *fakeQuarantine {
	return &fakeQuarantine{verdicts: make(map[fingerprint.Fingerprint]suspicion.Verdict)}
}

func (q *fakeQuarantine) RestoreVerdict(v suspicion.Verdict)    { q.verdicts[v.Request] = v }
func (q *fakeQuarantine) LiftVerdict(p fingerprint.Fingerprint) { delete(q.verdicts, p) }
func (q *fakeQuarantine) ApplyEvidence(v control.Evidence)      { q.evidence = append(q.evidence, v) }

var (
	now     = time.Unix(1_800_000_000, 0).UTC()
	request = fingerprint.Of("GET", "a.example", "/x", "", nil)
	verdict = suspicion.Verdict{Request: request, Since: now, Ends: 3, Incidents: 3, NextProbation: now.Add(time.Second)}
)

// TestVerdictIsShared guards against a process that does not learn of a request in quarantine from the store, and against writes of what the
// store has.
func TestVerdictIsShared(t *testing.T) {
	s, q := storetest.New(), newFakeQuarantine()
	first, second := New(s, "edge-1"), New(s, "edge-2")
	first.Record(suspicion.Change{Verdict: verdict})
	second.Record(suspicion.Change{Verdict: verdict})
	if !first.verdicts.WriteAll(t.Context()) || !second.verdicts.WriteAll(t.Context()) || s.Writes() != 1 {
		t.Fatalf("%d writes of one verdict", s.Writes())
	}
	second.Apply(s.Records(), q)
	if q.verdicts[request] != verdict {
		t.Errorf("verdict %+v, want %+v", q.verdicts[request], verdict)
	}
}

// TestOneEntryTakesAProbation guards against more sends of a request in quarantine than one at a time, at all entries together.
func TestOneEntryTakesAProbation(t *testing.T) {
	s, q := storetest.New(), newFakeQuarantine()
	keepers := []*Keeper{New(s, "edge-1"), New(s, "edge-2"), New(s, "edge-3")}
	if keepers[0].Claim(t.Context(), verdict) {
		t.Error("a probation is granted before the store has the verdict")
	}
	keepers[0].Record(suspicion.Change{Verdict: verdict})
	keepers[0].verdicts.WriteAll(t.Context())
	claim := func(v suspicion.Verdict) (granted int) {
		for _, k := range keepers {
			if k.Claim(t.Context(), v) {
				granted++
			}
		}
		return granted
	}
	for _, k := range keepers {
		k.Apply(s.Records(), q)
	}
	s.Fail(eris.New("away"))
	if n := claim(verdict); n != 0 {
		t.Errorf("%d probations are granted without the store", n)
	}
	s.Fail(nil)
	if n := claim(verdict); n != 1 {
		t.Errorf("%d probations are granted, want 1", n)
	}
	for _, k := range keepers {
		k.Apply(s.Records(), q)
	}
	if v := q.verdicts[request]; v.Probations != 1 || v.NextProbation.Equal(verdict.NextProbation) {
		t.Errorf("after a probation the verdict is %+v", v)
	}
	if n := claim(verdict); n != 0 {
		t.Errorf("%d probations are granted to entries that have missed the first", n)
	}
	if n := claim(q.verdicts[request]); n != 1 {
		t.Errorf("%d second probations are granted, want 1", n)
	}
}

// TestVerdictSurvivesTheStore guards against a quarantine that ends, or a probation that is taken again, because the store was away or went back
// to an older copy, and against a release that is lost to a change by another entry.
func TestVerdictSurvivesTheStore(t *testing.T) {
	s, q := storetest.New(), newFakeQuarantine()
	k := New(s, "edge-1")
	s.Fail(eris.New("away"))
	k.Record(suspicion.Change{Verdict: verdict})
	if k.verdicts.WriteAll(t.Context()) {
		t.Fatal("a failed write counts as done")
	}
	s.Fail(nil)
	k.verdicts.WriteAll(t.Context())
	k.Apply(s.Records(), q)
	older := s.Values()
	if !k.Claim(t.Context(), verdict) {
		t.Fatal("the probation is not granted")
	}
	k.Apply(s.Records(), q)
	s.Restore(older)
	list := s.Records()
	list[0].Restored = true
	k.Apply(list, q)
	k.verdicts.WriteAll(t.Context())
	if _, r, err := Decode(Key(request), s.Value(Key(request))); err != nil || r.Probations != 1 {
		t.Errorf("after a restoration the store has %+v %v", r, err)
	}
	k.Apply(s.Records(), q)
	s.Restore(nil)
	k.Apply([]mirror.Record{{Key: Key(request), Deleted: true}}, q)
	k.verdicts.WriteAll(t.Context())
	if s.Value(Key(request)) == nil || q.verdicts[request].Probations != 1 {
		t.Errorf("after the loss of the key the store has %d keys", len(s.Values()))
	}
	// Another entry writes between this one's last read and the release.
	other := New(s, "edge-2")
	other.Apply(s.Records(), newFakeQuarantine())
	if !other.Claim(t.Context(), q.verdicts[request]) {
		t.Fatal("the second probation is not granted")
	}
	k.Record(suspicion.Change{Verdict: verdict, Released: true})
	if k.verdicts.WriteAll(t.Context()) {
		t.Error("the release counts as written")
	}
	k.Apply(s.Records(), q)
	if !k.verdicts.WriteAll(t.Context()) {
		t.Error("the release is not written")
	}
	k.Apply(s.Records(), q)
	if len(q.verdicts) > 0 {
		t.Errorf("the request is still in quarantine: %+v", q.verdicts)
	}
}

// TestEvidenceWithoutAgents guards against evidence that entries without agents lose, or count twice.
func TestEvidenceWithoutAgents(t *testing.T) {
	s, q := storetest.New(), newFakeQuarantine()
	clock := quartz.NewMock(t)
	first, second := New(s, "edge-1", WithClock(clock)), New(s, "edge-2")
	share := func(endpoint ident.Endpoint) {
		first.Share(control.Evidence{Host: "edge-1", Ends: []control.EndEvidence{{Endpoint: endpoint, Requests: []control.InterruptedRequest{{Request: request}}}}})
		if !first.writeEvidence(t.Context()) {
			t.Fatal("the evidence is not written")
		}
		second.Apply(s.Records(), q)
	}
	share("i-1")
	clock.Advance(time.Second)
	share("i-2")
	second.Apply(s.Records(), q)
	if len(q.evidence) != 2 || q.evidence[1].Ends[0].Endpoint != "i-2" {
		t.Fatalf("%d observations are applied, want 2", len(q.evidence))
	}
	var r EvidenceRecord
	if err := json.Unmarshal(s.Value(EvidencePrefix+"edge-1"), &r); err != nil || r.Observations[0].Ends[0].AgeMilli != 1000 {
		t.Errorf("record %+v %v, want an age of one second", r, err)
	}
	// The entry starts again, and what it has seen before counts for a third one.
	first = New(s, "edge-1", WithClock(clock))
	clock.Advance(time.Second)
	share("i-3")
	if len(q.evidence) != 3 {
		t.Errorf("%d observations are applied after a restart, want 3", len(q.evidence))
	}
	for range 2 * maxObservations {
		first.Share(control.Evidence{Host: "edge-1"})
	}
	if len(first.observations) > maxObservations {
		t.Errorf("%d observations are kept", len(first.observations))
	}
}

// TestInvalidRecordsAreIgnored guards against values of other writers that stop the process or change the quarantine.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	s, q := storetest.New(), newFakeQuarantine()
	k := New(s, "edge-1")
	for _, x := range [][2]string{
		{VerdictPrefix, "{}"}, {VerdictPrefix + "7", "{}"}, {VerdictPrefix + strings.Repeat("x", 32), "{}"}, {Key(request), "["}, {Key(request), `{"Since":5}`},
		{EvidencePrefix + "edge-2", "["}, {EvidencePrefix + "edge-2", `{"Observations":[{"Sequence":1,"Ends":[{"Requests":["7"]}]}]}`}, {"shallotring/quarantine/7", "{}"},
	} {
		k.Apply([]mirror.Record{{Key: x[0], Value: []byte(x[1])}}, q)
		k.Apply([]mirror.Record{{Key: x[0], Deleted: true}}, q)
	}
	if len(q.verdicts)+len(q.evidence)+s.Writes() > 0 {
		t.Errorf("verdicts %v, evidence %v, %d writes", q.verdicts, q.evidence, s.Writes())
	}
}

// TestLiftIsNotOverwritten guards against an entry that writes what it has found before an operator lifted it.
func TestLiftIsNotOverwritten(t *testing.T) {
	s, q := storetest.New(), newFakeQuarantine()
	first, second := New(s, "edge-1"), New(s, "edge-2")
	first.Record(suspicion.Change{Verdict: verdict})
	second.Record(suspicion.Change{Verdict: verdict})
	first.verdicts.WriteAll(t.Context())
	lifted, err := json.Marshal(Record{Lifted: true})
	if err != nil {
		t.Fatal(err)
	}
	s.Put(t.Context(), Key(request), lifted)
	second.Apply(s.Records(), q)
	second.verdicts.WriteAll(t.Context())
	if _, r, err := Decode(Key(request), s.Value(Key(request))); err != nil || !r.Lifted {
		t.Errorf("the store has %+v %v after the lift", r, err)
	}
}
