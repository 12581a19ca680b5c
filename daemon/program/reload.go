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

// settingsEvery is the interval at which the settings file is looked at: it may change without a signal.
const settingsEvery = 5 * time.Second

// notifyHangups handles SIGHUP for the rest of the process's life: it ends a process that does not handle it, also one that has
// just started or is stopping.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reload checks the settings file when it changes. Addresses and bounds are fixed for the life of a process, so a change is
// checked and logged, and the values that the process started with stay in force.
func reload(ctx context.Context, hangups <-chan os.Signal, path string, log *slog.Logger) {
	last, err := os.ReadFile(path)
	if err != nil {
		log.Warn("settings file not read", slog.Any("Error", err))
	}
	t := time.NewTicker(settingsEvery)
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
			log.Warn("settings file not read, the last one stays in force", slog.Any("Error", err))
			continue
		}
		if bytes.Equal(b, last) && !signalled {
			continue
		}
		_, err = boot.Parse(b)
		log.Info("settings reloaded", slog.Bool("Signal", signalled), slog.Bool("Changed", !bytes.Equal(b, last)), slog.Any("Error", err))
		last = b
	}
}
