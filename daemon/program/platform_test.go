package program

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"shallotring.dev/platform/boot"
	"shallotring.dev/platform/standin"
)

// TestHangupWhileStopping guards against a SIGHUP, which reports a change of the settings, that kills a stopping process and interrupts
// its requests in progress: SIGHUP kills a process that does not handle it.
func TestHangupWhileStopping(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	s := standin.Settings{Host: "h", Zone: "a", IP: "127.0.0.1", Store: "127.0.0.1:1", ControlPort: 1, GracePeriod: time.Second, Engine: "127.0.0.1:2", Service: "s"}
	if err := os.WriteFile(file, s.Encode(), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(boot.PathVariable, file)
	hangUp := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Error(err)
		}
	}
	p := Platform{}
	err := p.Run("agent", func(ctx context.Context, _ boot.Settings, _ *slog.Logger) error {
		hangUp()
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			return err
		}
		<-ctx.Done()
		for range 20 {
			hangUp()
			time.Sleep(5 * time.Millisecond)
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}
