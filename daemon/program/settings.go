package program

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"shallotring.dev/platform/boot"
)

// settingsPollInterval is the interval at which the settings file is read: it may change without a signal.
const settingsPollInterval = 5 * time.Second

// notifyHangups handles SIGHUP until the process exits: SIGHUP kills a process that does not handle it, also one that has just started
// or is stopping.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// checkSettings checks the settings file when it changes. Addresses and limits are fixed while a process runs, so a change is only
// checked and logged, and the values that the process started with stay in force.
func checkSettings(ctx context.Context, hangups <-chan os.Signal, path string, log *slog.Logger) {
	last, err := os.ReadFile(path)
	if err != nil {
		log.Warn("settings file cannot be read; the next check reports it as changed", slog.Any("Error", err))
	}
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-t.C:
		}
		b, err := os.ReadFile(path)
		if err != nil {
			log.Warn("settings file cannot be read; the settings from the start stay in force", slog.Any("Error", err))
			continue
		}
		if bytes.Equal(b, last) && !signalled {
			continue
		}
		_, err = boot.Parse(b)
		log.Info("settings file checked; the settings from the start stay in force", slog.Bool("Signal", signalled), slog.Bool("Changed", !bytes.Equal(b, last)), slog.Any("Error", err))
		last = b
	}
}
