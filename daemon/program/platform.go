package program

import (
	"context"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/rotisserie/eris"

	"shallotring.dev/platform/boot"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/timeline"
)

// memoryLimitShare is the share of the process's memory limit that is set as the soft limit of the Go runtime. The platform kills a
// process that exceeds its limit, and buffers of the kernel count as well.
const memoryLimitShare = 0.7

// Platform is the command that runs a program on the users' platform; an environment variable names the settings file.
type Platform struct {
	Metrics string `placeholder:"ADDRESS" help:"Address of the metrics, as in ':9464'; none by default."`
}

// Run loads the settings and runs the program until the first signal; logging to standard output does not block the program.
func (p *Platform) Run(role string, start func(ctx context.Context, s boot.Settings, log *slog.Logger) (err error)) (err error) {
	hangups := notifyHangups()
	path := boot.Path()
	s, err := boot.Load(path)
	if err != nil {
		return err
	}
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimitBytes) * memoryLimitShare))
	}
	out := timeline.NewQueue(os.Stdout)
	defer out.Flush()
	log := timeline.New(out, timeline.Process{ID: ident.NewProcess(role), Role: role, Host: s.Host, Zone: s.Zone}, slog.LevelInfo)
	ctx, cancel := Context(log.Logger, func() {})
	defer cancel()
	go checkSettings(ctx, hangups, path, log.Logger)
	err = start(ctx, s, log.Logger)
	if err != nil {
		log.Error("process failed", slog.Any("Error", err))
	}
	return eris.Wrap(err, role)
}
