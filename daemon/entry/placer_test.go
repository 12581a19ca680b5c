package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/openai"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/resource"
)

// TestPolicyWeightsReachPlacementTable guards against a placement table that keeps its default weights, or those of a
// previous policy, after the policy has changed.
func TestPolicyWeightsReachPlacementTable(t *testing.T) {
	r := startEntry(t, testSettings(), twoAgents(t))
	configuration := r.configuration.(*fakeConfiguration)
	for i, w := range []placement.Weights{{LoadStall: 3, BatchEfficiency: 0.5}, {LoadStall: 1, BatchEfficiency: 4}} {
		p := resource.DefaultPolicy()
		p.LoadStallWeight, p.BatchEfficiencyWeight = w.LoadStall, w.BatchEfficiency
		shard := &resource.Shard{}
		shard.Put(&p)
		configuration.set.Store(configuration.Current().Apply(1, ident.Revision(10+i), shard))
		waitFor(t, "the weights", func() bool { return r.placer.weightsInForce() == w })
	}
}

// TestReportFieldsReachPlacementTable guards against fields of a load report that are missing from the placement report.
func TestReportFieldsReachPlacementTable(t *testing.T) {
	state := &endpointState{
		resource: &resource.Endpoint{Name: "e", Kind: resource.Engine, BaseModel: "base", Zone: "z", Slots: 4, BatchSize: 8},
		report: &wire.ReportResponse{
			Running: 3, Queued: 2, BatchSize: 6, Slots: 5, Pinned: 1, QueueMilli: 70, Leaving: true,
			Adapters: []*wire.AdapterState{
				{Adapter: "a", Version: "v"}, {Adapter: "b", Version: "v", Loading: true}, {Adapter: "c", Version: "v", Failing: true},
			},
		},
	}
	list := func(name ident.Adapter) []ident.AdapterVersion {
		return []ident.AdapterVersion{{Adapter: name, Version: "v"}}
	}
	want := placement.Report{
		Endpoint: "e", Kind: resource.Engine, BaseModel: "base", Zone: "z", Leaving: true, Running: 3, Queued: 2, BatchSize: 6,
		Slots: 5, Pinned: 1, QueueWait: 70 * time.Millisecond, Resident: list("a"), Loading: list("b"), Failing: list("c"),
	}
	if got := state.placementReport(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestReportOfOtherAgentIsDropped guards against the state of another endpoint, or of another incarnation, that an entry takes for that of the
// endpoint it asked for, because the address of the agent belongs to another agent now.
func TestReportOfOtherAgentIsDropped(t *testing.T) {
	for name, tt := range map[string]struct {
		endpoint ident.Endpoint
		later    ident.Incarnation
		dropped  bool
	}{
		"own":               {"engine-0", 0, false},
		"other endpoint":    {"engine-1", 0, true},
		"other incarnation": {"engine-0", 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newPlacer(startEntry(t, testSettings(), twoAgents(t)).Entry)
			c.refresh()
			state := c.endpoints["engine-0"]
			c.handlePollResult(pollResult{claim: state.claim, report: &wire.ReportResponse{
				Endpoint: string(tt.endpoint), Incarnation: int64(state.claim.Incarnation + tt.later), Running: 3,
			}})
			if state.failing != tt.dropped || (state.report == nil) != tt.dropped {
				t.Errorf("report %v, failing %t, want it dropped: %t", state.report, state.failing, tt.dropped)
			}
		})
	}
}

// TestSharedPromptHasOnePrefix guards against requests with the same long system prompt that get different prefix hashes:
// they could go to different endpoints, each of which would compute the prompt again.
func TestSharedPromptHasOnePrefix(t *testing.T) {
	r := startEntry(t, testSettings(), twoAgents(t))
	query := func(systemPrompt, userPrompt string) placement.Query {
		body := fmt.Sprintf(`{"model":"core","messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`, systemPrompt, userPrompt)
		x := r.newExchange(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil), &resource.Caller{})
		x.body = []byte(body)
		if err := x.resolveModel(r.current(), openai.ChatRequest); err != nil {
			t.Fatal(err)
		}
		return x.query
	}
	// The 1600 bytes of the system prompt count as 400 tokens.
	systemPrompt := strings.Repeat("harvest at noon ", 100)
	first, second := query(systemPrompt, "when?"), query(systemPrompt, "how many baskets?")
	if first.Prefix == 0 || first.Prefix != second.Prefix || first.PromptTokens < 400 {
		t.Errorf("same system prompt: %+v, %+v", first, second)
	}
	if other := query("pond 7: "+systemPrompt, "when?"); other.Prefix == first.Prefix {
		t.Error("two system prompts have the same prefix")
	}
	if short := query("be brief", "when?"); short.Prefix != 0 {
		t.Error("a short prompt has a prefix")
	}
}

// TestSoleCallerIsNotOverItsShare guards against refusing the only caller for exceeding its fair share when the entry is
// full: no other caller competes, so the reason is queue-full.
func TestSoleCallerIsNotOverItsShare(t *testing.T) {
	a := newAdmission(4)
	for i := range 4 {
		if x := a.admit("depot", 1); x != nil {
			t.Fatalf("request %d refused: %v", i, x)
		}
	}
	if x := a.admit("depot", 1); x == nil || x.Reason != outcome.QueueFull {
		t.Errorf("sole caller: %v", x)
	}
}

// TestNewClaimServesAtOnce guards against the refusal of a request whose endpoints have just been claimed, because the placement knows those of another
// service already.
func TestNewClaimServesAtOnce(t *testing.T) {
	c := newPlacer(startEntry(t, testSettings(), twoAgents(t)).Entry)
	c.refresh()
	base := c.endpoints["engine-0"].resource.BaseModel
	delete(c.endpoints, "engine-0")
	c.table.Remove("engine-0")
	c.claims = c.claims[1:]
	if got := c.choose(placement.Query{BaseModel: base}); got.refusal != nil {
		t.Errorf("refused: %+v", got.refusal)
	}
}

// TestOneMissedReport guards against refusing requests because the agents of all endpoints missed one load report call, as they do when hosts
// are short of processor time, and against using an agent that refuses connections or misses a second call.
func TestOneMissedReport(t *testing.T) {
	timedOut, refused := eris.Wrap(context.DeadlineExceeded, "load report"), eris.New("connection refused")
	for name, tt := range map[string]struct {
		results []error
		want    bool
	}{
		"one timeout":                {[]error{timedOut}, true},
		"two timeouts":               {[]error{timedOut, timedOut}, false},
		"timeout, response, timeout": {[]error{timedOut, nil, timedOut}, true},
		"refused":                    {[]error{refused}, false},
		"timeout, refused":           {[]error{timedOut, refused}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := startEntry(t, testSettings(), twoAgents(t))
			c := newPlacer(r.Entry)
			c.refresh()
			claim := c.endpoints["engine-0"].claim
			for _, err := range tt.results {
				result := pollResult{claim: claim, err: err}
				if err == nil {
					result.report = &wire.ReportResponse{Endpoint: string(claim.Endpoint), Incarnation: int64(claim.Incarnation)}
				}
				c.handlePollResult(result)
			}
			if got := c.choose(placement.Query{BaseModel: c.endpoints["engine-0"].resource.BaseModel}); (got.refusal == nil) != tt.want {
				t.Errorf("endpoint %q, refusal %v, want an endpoint: %t", got.target.endpoint, got.refusal, tt.want)
			}
		})
	}
}
