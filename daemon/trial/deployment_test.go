package trial_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"shallotring.dev/daemon/trial"
)

// TestRequestForAnotherDeploymentIsRecorded guards against deployments of one process, whose hosts, engines and requests have the same names,
// that serve each other's requests unnoticed.
func TestRequestForAnotherDeploymentIsRecorded(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	d, err := trial.Start(ctx, slog.New(slog.DiscardHandler), trial.Small)
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	defer func() {
		cancel()
		if err := d.Wait(); err != nil {
			t.Error(err)
		}
	}()
	serve := func(id string) {
		t.Helper()
		for i := range 200 {
			if status, _ := d.Exchange(d.Front, d.ModelRequest(fmt.Sprint(id, "-", i))); status == http.StatusOK {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Fatalf("%s is not served", id)
	}
	serve("own")
	if list := d.Violations(); len(list) > 0 {
		t.Fatalf("violations %q", list)
	}
	d.Name = "other"
	serve("foreign")
	if list := d.Violations(); len(list) != 1 || !strings.Contains(list[0], "for deployment other") {
		t.Errorf("violations %q, want one", list)
	}
}
