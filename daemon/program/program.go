package program

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
)

// Version returns the revision that the program was built from, or the version of its module.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}

// Context returns a context that ends at the first SIGTERM or SIGINT, which starts a graceful shutdown.
// At a second signal, it calls stop, which interrupts the requests in progress.
func Context(log *slog.Logger, stop func()) (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancel = context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		<-signals
		log.Warn("second signal: requests in progress are interrupted")
		stop()
	}()
	return ctx, cancel
}
