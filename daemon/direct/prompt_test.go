package direct_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"shallotring.dev/daemon/trial"
	"shallotring.dev/platform/standin"
)

// generator sends generations with the same long prompt prefix to one adapter.
type generator struct {
	*deployment
	// ran receives the runs at the engines.
	ran  chan standin.Arrival
	sent int
	// requests are those whose callers still read the response.
	requests sync.WaitGroup
}

// start sends a request and returns its run as soon as it has begun; ok is false if the request was refused.
func (g *generator) start() (run standin.Arrival, ok bool) {
	g.sent++
	call := g.ModelRequest(fmt.Sprint("prompt-", g.sent))
	call.Timeout, call.Shared.Tokens, call.Own.ID = 4*time.Second, 6000, uint64(1000+g.sent)
	finished := make(chan struct{})
	g.requests.Go(func() {
		defer close(finished)
		g.send(call)
	})
	select {
	case run = <-g.ran:
		return run, true
	case <-finished:
	}
	select {
	case run = <-g.ran:
		return run, true
	default:
		return run, false
	}
}

func (g *generator) send(call standin.Call) {
	c, err := net.Dial("tcp", g.Front)
	if err != nil {
		g.t.Error(err)
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, call.Encode())
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		g.t.Error(err)
		return
	}
	io.Copy(io.Discard, response.Body)
}

// baseVersion returns the version of the base model that an engine reports, 0 while it has none.
func baseVersion(e *standin.Engine) int {
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/report", nil))
	var x struct {
		Models []struct{ Version int }
	}
	if err := json.Unmarshal(w.Body.Bytes(), &x); err != nil || len(x.Models) == 0 {
		return 0
	}
	return x.Models[0].Version
}

// TestStalePromptIsNotFetched guards against incident STALE: an engine that has started after a new version of the base model was declared
// used a prompt that it had fetched from an engine with the older weights.
func TestStalePromptIsNotFetched(t *testing.T) {
	for _, c := range []struct {
		name string
		// version is the declared version of the base model with which the second engine starts again, 0 if it does not.
		version int
		weights standin.Weights
		used    []standin.Weights
	}{
		{name: "same weights", weights: standin.Weights{Base: "1", Adapter: "1"}, used: []standin.Weights{{Base: "1", Adapter: "1"}}},
		{name: "newer base model", version: 2, weights: standin.Weights{Base: "2", Adapter: "1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ran := make(chan standin.Arrival, 1000)
			record := func(a standin.Arrival) {
				if a.Ran {
					ran <- a
				}
			}
			// One request fills an engine, so that the second engine soon gets requests for the adapter, too.
			g := generator{deployment: deploy(t, standin.WithJournal(record), standin.WithBatchSize(1), standin.WithPace(20, 50*time.Millisecond)), ran: ran}
			defer g.requests.Wait()
			g.sendUntilServed("/o/1", "ready", "")
			var run standin.Arrival
			waitFor(t, "an engine reads the prompt", func() (ok bool) { run, ok = g.start(); return ok })
			index := slices.IndexFunc(g.Engines, func(e *standin.Engine) bool { return e.ID() == run.Engine })
			other := g.Engines[1-index]
			if c.version > 0 {
				g.Store.DeclareBase(trial.Model, c.version)
				other.Start()
				waitFor(t, "the second engine has the declared version", func() bool { return baseVersion(other) == c.version })
			}
			waitFor(t, "the second engine runs a request", func() (ok bool) {
				if run, ok = g.start(); !ok || run.Engine != other.ID() {
					return false
				}
				if c.version == 0 && run.Source == "" {
					// The entry lacked a recent state of an engine, as it may on a busy machine.
					other.Start()
					return false
				}
				return true
			})
			if run.Weights != c.weights || !slices.Equal(run.PromptWeights, c.used) {
				t.Errorf("run %+v, want one under %v that used a prompt of %v", run, c.weights, c.used)
			}
		})
	}
}
