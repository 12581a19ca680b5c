package processes

import (
	"strings"
	"testing"
)

// Guards against features that work only when all parts run in one process: settings, the start order, the command line, two
// entries, orders that are retried through the other entry, and exit codes of planned stops.
func TestDeployServeStop(t *testing.T) {
	t.Parallel()
	d := deploy(t, plan{entries: 2, enginesCheckFencing: []bool{true, false}, services: 1})
	for _, e := range d.endpoints {
		if out := runProgram(t, 0, "agent", "check", e.settingsFile); !strings.Contains(out, "ok") {
			t.Errorf("agent check: %s", out)
		}
	}
	for _, g := range d.entries {
		runProgram(t, 0, "entry", "check", g.settingsFile)
		for _, stream := range []bool{false, true} {
			r := sendCall(g.url, call{model: "adapter-2@v2", prompt: "borehole log", tokens: 12, stream: stream})
			if !r.complete() || r.outcome != "completed" || r.header.Get("Shallotring-Adapter") != "adapter-2@v2" {
				t.Errorf("%s: %s", g.name, r)
			}
		}
	}
	first, second := sendOrder(d.entries[0].url, "order-1"), sendOrder(d.entries[1].url, "order-1")
	if first.status != 200 || first != second {
		t.Errorf("order retried through the other entry: %+v, then %+v", first, second)
	}
	if list := d.keyedRuns(); len(list) != 1 {
		t.Errorf("the order ran %d times: %v", len(list), list)
	}
	d.runOperator(0, "status", "Adapter/adapter-2")
	for _, g := range d.entries {
		d.checkMetrics(g.adminAddress, "shallotring_entry_requests_total", "shallotring_ledger_writes_total", "shallotring_invariant_violations_total",
			"shallotring_configuration_isolated", "shallotring_entry_live_agents", "shallotring_configuration_generation")
	}
	d.checkMetrics(d.endpoints[0].adminAddress, "shallotring_agent_tries_total", "shallotring_invariant_violations_total",
		"shallotring_agent_claim_age_seconds", "shallotring_invariant_violations_total")
	d.runOperator(7, "get", "Adapter/none")
	d.checkEngines()
	for _, g := range d.entries {
		g.process.stop()
	}
	for _, e := range d.endpoints {
		e.agent.stop()
	}
	d.keyValueProcess.stop()
}

// checkMetrics checks that a process exports the given metrics, which docs/OPERATIONS.md documents.
func (d *deployment) checkMetrics(admin string, names ...string) {
	d.t.Helper()
	body, _ := fetch("http://" + admin + "/metrics")
	for _, n := range names {
		if !strings.Contains(body, "\n"+n) && !strings.HasPrefix(body, n) {
			d.t.Errorf("%s does not export %s", admin, n)
		}
	}
}
