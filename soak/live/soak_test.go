package live

import (
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// Guards against programs that break a guarantee or have a data race under faults injected from outside. Longer runs and other
// seeds are run by `make soak-processes`.
func TestShortRun(t *testing.T) {
	programs := t.TempDir()
	const root = "shallotring.dev/cmd/"
	c := exec.Command("go", "build", "-race", "-o", programs+string(os.PathSeparator), root+"agent", root+"entry")
	if b, err := c.CombinedOutput(); err != nil {
		t.Fatalf("build the entry and agent programs: %v\n%s", err, b)
	}
	// The logs stay for the trace if the test fails.
	logs, err := os.MkdirTemp("", "soak-short-run-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !t.Failed() {
			os.RemoveAll(logs)
		}
	})
	var out strings.Builder
	r, err := Run(t.Context(), Options{
		Seed: 7, Duration: 6 * time.Second, Engines: 3, Entries: 2, Callers: 2, Overlap: 4, Programs: programs, Dir: logs, Events: true,
	}, &out)
	if err != nil || r.Violations > 0 || r.Faults == 0 || r.Counts["served"] == 0 {
		t.Errorf("%d faults, counts %v, %d violations, %v, logs in %s:\n%s", r.Faults, r.Counts, r.Violations, err, logs, out.String())
	}
}
