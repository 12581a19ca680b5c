package processes

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"shallotring.dev/state/ident"
)

// Guards against an agent that is frozen past its lease while it sends no command, and that starts its waiting tries with its stale
// fencing number when it resumes.
func TestFrozenAgentStartsNoWaitingTry(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("engine checks fencing %t", checks), func(t *testing.T) {
			t.Parallel()
			d := deploy(t, plan{entries: 2, enginesCheckFencing: []bool{checks}})
			e := d.endpoints[0]
			// With more callers than batch slots, the frozen agent has tries to start when it resumes.
			l := startStreams(t, 2*d.plan.batchSize, 60, d.balancer())
			l.waitForMore(16)
			first := e.agent
			// Nothing promises that a command is withheld if the agent is frozen between its check and the send.
			d.holdWithoutCommands(e)
			first.freeze()
			d.sendJSON("POST", e.url+"/fault/release", nil)
			e.agent = d.startAgent(e, "successor")
			waitUntil(t, "the successor serves", func() bool { return ready(e.adminAddress) })
			// The first callers still wait for the frozen agent.
			late := startStreams(t, d.plan.batchSize, 60, d.balancer())
			late.waitForMore(16)
			before := d.journal(e).Runs
			newest := before[len(before)-1].FencingNumber
			first.signal(syscall.SIGCONT)
			late.waitForMore(32)
			for _, r := range d.journal(e).Runs[len(before):] {
				if r.FencingNumber < newest {
					t.Errorf("%s ran with fencing number %d after %d", r.RequestID, r.FencingNumber, newest)
				}
			}
			checkStreams(t, append(l.stop(), late.stop()...))
			d.checkEngines()
			if !first.running() {
				t.Error("the frozen agent exited instead of waiting for the claim")
			}
			first.stop()
		})
	}
}

// holdWithoutCommands holds the engine's tokens at a moment from which its agent sends no command until the release: all adapters
// are loaded, and the requests that the engine has received fill the batch.
func (d *deployment) holdWithoutCommands(e *endpoint) {
	d.t.Helper()
	waitUntil(d.t, "all adapters are loaded", func() bool { return d.loadedAdapters(e) == 2*adapterCount })
	d.sendJSON("POST", e.url+"/fault/hold", nil)
	waitUntil(d.t, "the batch is full", func() bool {
		body, _ := fetch(e.url + "/load")
		var load struct {
			Running int `json:"running"`
		}
		return json.Unmarshal([]byte(body), &load) == nil && load.Running == d.plan.batchSize
	})
}

func (d *deployment) loadedAdapters(e *endpoint) (n int) {
	body, _ := fetch(e.url + "/v1/models")
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	_ = json.Unmarshal([]byte(body), &list)
	for _, m := range list.Data {
		if ident.ParseAdapterVersion(m.ID).Version != "" {
			n++
		}
	}
	return n
}

// freeze stops the process and waits until none of its threads runs.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	waitUntil(p.t, p.name+" is frozen", func() bool {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
		for _, f := range files {
			text, _ := os.ReadFile(f)
			if _, state, _ := strings.Cut(string(text), ") "); !strings.HasPrefix(state, "T") {
				return false
			}
		}
		return len(files) > 0
	})
}
