package frontend

import (
	"log/slog"
	"net/http"
	"testing"

	"shallotring.dev/platform/message"
	"shallotring.dev/protocol/control"
	"shallotring.dev/protocol/upstream"
	"shallotring.dev/state/call"
	"shallotring.dev/state/inventory"
	"shallotring.dev/state/quarantine"
)

// TestEndsOfIdleEnginesCount guards against prompt parts that are blamed because only the ends of engines with requests in progress are counted.
func TestEndsOfIdleEnginesCount(t *testing.T) {
	up := control.State{Endpoint: "i-1", Born: 1, Up: true}
	crash := control.State{Endpoint: "i-1", Born: 1, Crashes: &control.Crashes{List: []control.Crash{{Endpoint: "i-1", Born: 1,
		Interruption: control.Interruption{Requests: 1, Suspects: []quarantine.Suspect{{Part: 7, Share: 0.1}}}}}}}
	for _, c := range []struct {
		name string
		list []control.State
		want int
	}{
		{"down", []control.State{up, {Endpoint: "i-1", Born: 1}}, 1},
		{"the next incarnation", []control.State{up, {Endpoint: "i-1", Born: 2, Up: true}}, 1},
		{"down, then the next incarnation", []control.State{up, {Endpoint: "i-1", Born: 1}, {Endpoint: "i-1", Born: 2, Up: true}}, 1},
		{"down, reported with requests later", []control.State{up, {Endpoint: "i-1", Born: 1}, crash}, 1},
		{"reported with requests", []control.State{up, crash}, 1},
		{"still up", []control.State{up, up}, 0},
		{"never up", []control.State{{Endpoint: "i-1", Born: 1}, {Endpoint: "i-1", Born: 2}}, 0},
		{"after it has announced that it leaves", []control.State{up, {Endpoint: "i-1", Born: 1, Up: true, Leaving: true}, {Endpoint: "i-1", Born: 1}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := New(message.Headers{}, "edge-1", "a", WithLog(slog.New(slog.DiscardHandler)))
			l := newLink(f, "127.0.0.1:1")
			for _, s := range c.list {
				f.handleState(l, s)
			}
			if n := f.quarantine.Crashes(); n != c.want {
				t.Errorf("%d ends, want %d", n, c.want)
			}
		})
	}
}

// BenchmarkExposure records the parts of a request's prompt from its send to its complete run.
func BenchmarkExposure(b *testing.B) {
	f := New(message.Headers{}, "edge-1", "a", WithLog(slog.New(slog.DiscardHandler)))
	f.UpdateEndpoint(inventory.Endpoint{ID: "i-0", Service: "llm", Address: "127.0.0.1:1", BatchSize: 6})
	x := newSuspectRequest()
	x.service, x.call.Model = "llm", "m"
	for i := range 6 {
		x.call.Parts = append(x.call.Parts, call.Part{ID: call.PartID(i)})
	}
	e, response := f.endpoints["i-0"], &upstream.Response{Status: http.StatusOK, Framing: upstream.LengthFraming}
	b.ReportAllocs()
	for b.Loop() {
		end := f.beginExposure(x, e)
		f.recordCompleteRun(x, response)
		end()
	}
}
