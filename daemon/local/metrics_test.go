package local

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
)

// get reads a page of an admin port.
func getAdminPage(t *testing.T, address, path string) (status int, text string) {
	t.Helper()
	a, err := http.Get("http://" + address + path)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, string(b)
}

// agentMetricSum returns the sum of one metric over all agents.
func (a *authDeployment) agentMetricSum(name string) (value float64) {
	for _, x := range a.agents {
		value += a.metric(x.AdminAddress(), name)
	}
	return value
}

// waitForMetric reads a metric until it has the wanted value: an agent updates its metrics only after the step that sends the last
// frame, so the caller may receive the whole response before the update.
func (a *authDeployment) waitForMetric(name string, want float64, read func() float64) {
	a.Helper()
	got := read()
	for end := time.Now().Add(testTimeout / 10); got != want && time.Now().Before(end); got = read() {
		time.Sleep(10 * time.Millisecond)
	}
	if got != want {
		a.Errorf("%s is %v, want %v", name, got, want)
	}
}

// TestMetricsFollowTheTraffic guards against metrics that do not count the requests, tries, loads and refusals that took place,
// and against names that differ between the admin ports and docs/metrics.md.
func TestMetricsFollowTheTraffic(t *testing.T) {
	a := newAuthDeployment(t)
	post := func(path, body, key string) {
		w := a.request(depotToken, http.MethodPost, path, body, "Idempotency-Key", key)
		if _, err := io.Copy(io.Discard, w.Body); err != nil {
			t.Fatal(err)
		}
		w.Body.Close()
	}
	const requests = 5
	for _, key := range []string{"1", "2", "3", "4", "5"} {
		post("/v1/completions", `{"model":"adapter-01","prompt":"x","max_tokens":3}`, "c"+key)
		post("/services/custody/orders", `{}`, "o"+key)
	}
	post("/services/custody/orders", `{"Other":1}`, "o1")
	post("/v1/completions", `{"model":"none","prompt":"x"}`, "c6")
	a.request("nobody", http.MethodGet, "/v1/models", "").Body.Close()

	for name, want := range map[string]float64{
		`shallotring_entry_requests_total{outcome="completed"}`:      2 * requests,
		`shallotring_entry_requests_total{outcome="not-run"}`:        2,
		`shallotring_entry_requests_total{outcome="unknown"}`:        0,
		`shallotring_entry_refusals_total{reason="key-mismatch"}`:    1,
		`shallotring_entry_refusals_total{reason="model_not_found"}`: 1,
		`shallotring_entry_refusals_total{reason="invalid_token"}`:   1,
		`shallotring_ledger_refusals_total{reason="mismatch"}`:       1,
		`shallotring_entry_requests_in_progress`:                     0,
		`shallotring_entry_request_body_bytes`:                       0,
		`shallotring_entry_stall_seconds_count`:                      2 * requests,
		`shallotring_entry_request_duration_seconds_count`:           2*requests + 2,
		`shallotring_invariant_violations_total{guarantee="G4"}`:     0,
		`shallotring_invariant_violations_total{guarantee="G5"}`:     0,
		`shallotring_invariant_violations_total{guarantee="G8"}`:     0,
		`shallotring_configuration_isolated`:                         0,
		`shallotring_keyvalue_call_failures_total{call="range"}`:     0,
		`shallotring_entry_damaged_frames_total`:                     0,
		`shallotring_entry_tries_total`:                              2*requests + a.metric(a.AdminAddress(), "shallotring_entry_retries_total"),
		`shallotring_keyvalue_calls_total{call="grant"}`:             2, // one lease for the presence record and one for the load permits
		`shallotring_entry_broken_streams_total`:                     0,
	} {
		a.waitForMetric(name, want, func() float64 { return a.metric(a.AdminAddress(), name) })
	}
	// The generation rises with every write to the key-value service, so it may rise between the reads.
	before := float64(a.entry.Configuration().Generation())
	shown := a.metric(a.AdminAddress(), "shallotring_configuration_generation")
	if after := float64(a.entry.Configuration().Generation()); shown < before || shown > after {
		t.Errorf("shallotring_configuration_generation is %v, the entry had generation %v before and %v after", shown, before, after)
	}
	for _, name := range []string{
		"shallotring_ledger_takeovers_total", "shallotring_ledger_writes_total", "shallotring_ledger_written_bytes_total", `shallotring_keyvalue_calls_total{call="txn"}`,
		`shallotring_keyvalue_calls_total{call="watch"}`, "shallotring_configuration_generation",
	} {
		if a.metric(a.AdminAddress(), name) <= 0 {
			t.Errorf("%s is zero or missing", name)
		}
	}
	for name, want := range map[string]float64{
		`shallotring_agent_tries_total{outcome="completed"}`:     2 * requests,
		`shallotring_agent_loads_total{result="completed"}`:      float64(a.Platform().Weights.Loads()),
		`shallotring_agent_loads_total{result="failed"}`:         0,
		`shallotring_agent_evictions_total{result="completed"}`:  0,
		`shallotring_agent_stall_seconds_count`:                  2 * requests,
		`shallotring_agent_running_tries`:                        0,
		`shallotring_agent_batch_fill_ratio`:                     0,
		`shallotring_agent_batch_size_tries`:                     (engineCount + 1) * engineBatchSize,
		`shallotring_agent_load_duration_seconds_count`:          float64(a.Platform().Weights.Loads()),
		`shallotring_invariant_violations_total{guarantee="G2"}`: 0,
	} {
		a.waitForMetric(name, want, func() float64 { return a.agentMetricSum(name) })
	}
	if a.agentMetricSum("shallotring_agent_try_seconds_total") <= 0 {
		t.Error("shallotring_agent_try_seconds_total is zero or missing")
	}
	a.checkMetricsDocumented()
}

// checkMetricsDocumented compares the metric names of all admin ports with those in docs/metrics.md.
func (a *authDeployment) checkMetricsDocumented() {
	a.Helper()
	page, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		a.Fatal(err)
	}
	metricName := regexp.MustCompile(`shallotring_[a-z_]+`)
	documented, exported := map[string]bool{}, map[string]bool{}
	for _, x := range metricName.FindAllString(string(page), -1) {
		documented[x] = true
	}
	addresses := []string{a.AdminAddress()}
	for _, x := range a.agents {
		addresses = append(addresses, x.AdminAddress())
	}
	for _, address := range addresses {
		_, text := getAdminPage(a.T, address, "/metrics")
		for line := range strings.Lines(text) {
			x := metricName.FindString(line)
			for _, suffix := range []string{"_bucket", "_sum", "_count"} {
				x = strings.TrimSuffix(x, suffix)
			}
			exported[x] = true
			if strings.HasPrefix(line, "shallotring_") && !documented[x] {
				a.Errorf("docs/metrics.md does not document %s", x)
			}
		}
	}
	for x := range documented {
		// These two counters are exported only after the first refusal or failure.
		if !exported[x] && x != "shallotring_agent_refusals_total" && x != "shallotring_keyvalue_call_failures_total" {
			a.Errorf("docs/metrics.md documents %s, which no process exports", x)
		}
	}
}

// TestDrainingAgentIsHealthyButNotReady guards against a draining agent whose health check fails, so that it is restarted
// before its tries end, or whose readiness check passes, so that it still gets new requests; the entry must remain healthy and
// ready.
func TestDrainingAgentIsHealthyButNotReady(t *testing.T) {
	a := newAuthDeployment(t)
	stream := a.request(depotToken, http.MethodPost, "/v1/completions", `{"model":"adapter-01","prompt":"x","stream":true,"max_tokens":60000}`)
	if _, err := io.ReadFull(stream.Body, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	var draining ident.Endpoint
	for name, e := range a.Platform().Engines {
		if len(e.Journal()) > 0 {
			draining = name
		}
	}
	agent := a.agents[draining]
	if _, err := wire.NewAgentProtobufClient("http://"+agent.Address(), http.DefaultClient).Drain(t.Context(), &wire.DrainRequest{}); err != nil {
		t.Fatal(err)
	}
	if status, text := getAdminPage(t, agent.AdminAddress(), "/readyz"); status != http.StatusServiceUnavailable || !strings.Contains(text, "leaving") {
		t.Errorf("readiness of a draining agent: status %d: %s", status, text)
	}
	if status, _ := getAdminPage(t, agent.AdminAddress(), "/healthz"); status != http.StatusOK {
		t.Errorf("health of a draining agent: status %d", status)
	}
	stream.Body.Close() // the caller disconnects, so that its try ends and the agent can drain
	for _, path := range []string{"/readyz", "/healthz"} {
		if status, text := getAdminPage(t, a.AdminAddress(), path); status != http.StatusOK {
			t.Errorf("%s of the entry: status %d: %s", path, status, text)
		}
	}
}
