package processes

import (
	"strings"
	"testing"
)

// Guards against programs that work inside one process only: settings, the order of the start, the command line, both
// entries, orders repeated through the other entry, and exit codes of planned stops.
func TestDeployServeStop(t *testing.T) {
	t.Parallel()
	d := deploy(t, plan{entries: 2, engines: []bool{true, false}, services: 1})
	for _, e := range d.endpoints {
		if out := run(t, 0, "agent", "check", e.file); !strings.Contains(out, "ok") {
			t.Errorf("agent check: %s", out)
		}
	}
	for _, g := range d.entries {
		run(t, 0, "entry", "check", g.file)
		for _, stream := range []bool{false, true} {
			r := complete(g.url, call{model: "adapter-2@v2", prompt: "borehole log", tokens: 12, stream: stream})
			if !r.whole() || r.outcome != "completed" || r.header.Get("Shallotring-Adapter") != "adapter-2@v2" {
				t.Errorf("%s: %s", g.name, r)
			}
		}
	}
	first, second := order(d.entries[0].url, "order-1"), order(d.entries[1].url, "order-1")
	if first.status != 200 || first != second {
		t.Errorf("repeat through the other entry: %+v, then %+v", first, second)
	}
	if list := d.orders(); len(list) != 1 {
		t.Errorf("the order ran %d times: %v", len(list), list)
	}
	d.operate(0, "status", "Adapter/adapter-2")
	for _, g := range d.entries {
		d.checkMetrics(g.admin, "shallotring_entry_requests_total", "shallotring_ledger_writes_total", "shallotring_invariant_violations_total",
			"shallotring_configuration_isolated", "shallotring_entry_live_agents", "shallotring_configuration_generation")
	}
	d.checkMetrics(d.endpoints[0].admin, "shallotring_agent_tries_total", "shallotring_invariant_violations_total",
		"shallotring_agent_claim_age_seconds", "shallotring_invariant_violations_total")
	d.operate(7, "get", "Adapter/none")
	d.checkEngines()
	for _, g := range d.entries {
		g.process.stop()
	}
	for _, e := range d.endpoints {
		e.agent.stop()
	}
	d.store.stop()
}

// checkMetrics guards against a metric of docs/OPERATIONS.md that no process exports.
func (d *deployment) checkMetrics(admin string, names ...string) {
	d.t.Helper()
	body, _ := fetch("http://" + admin + "/metrics")
	for _, n := range names {
		if !strings.Contains(body, "\n"+n) && !strings.HasPrefix(body, n) {
			d.t.Errorf("%s does not export %s", admin, n)
		}
	}
}
