package processes

import (
	"testing"

	"shallotring.dev/standin/engine"
)

// judge checks what callers saw of their streams: each is whole or ends with an explicit error.
func judge(t *testing.T, list []reply) (whole int) {
	t.Helper()
	if len(list) == 0 {
		t.Error("no stream ran")
	}
	for _, r := range list {
		if !r.honest() {
			t.Errorf("incomplete stream ends as if it were complete: %s", r)
		}
		if r.whole() {
			whole++
		}
	}
	return whole
}

// runs returns the runs of the whole deployment by the name of the model and the prompt.
func (d *deployment) runs() (list []engine.Run) {
	for _, e := range d.endpoints {
		if e.Kind == "Engine" {
			list = append(list, d.journal(e).Runs...)
		}
	}
	return list
}

// Guards G7: a planned stop that cuts, doubles or loses a stream while every entry and every agent is restarted in turn.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	d := deploy(t, plan{entries: 2, engines: []bool{true, true}})
	before := len(d.runs())
	l := streams(t, 8, 60, d.balancer())
	l.more(16)
	for _, g := range d.entries {
		g.process.stop()
		l.more(8)
		g.process = d.startEntry(g)
		until(t, g.name+" is ready again", func() bool { return ready(g.admin) })
		l.more(8)
	}
	for _, e := range d.endpoints {
		e.agent.stop()
		l.more(8)
		e.agent = d.startAgent(e, "agent-"+string(e.Name)+"-next")
		until(t, string(e.Name)+" has a ready agent again", func() bool { return ready(e.admin) })
		l.more(8)
	}
	list := l.stop()
	for _, r := range list {
		if !r.whole() {
			t.Errorf("cut or refused: %s", r)
		}
	}
	if n := len(d.runs()) - before; n != len(list) {
		t.Errorf("%d streams ran %d times at the engines", len(list), n)
	}
	t.Logf("%d streams", len(list))
	d.checkEngines()
}
