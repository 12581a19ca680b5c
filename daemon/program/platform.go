package program

import (
	"context"
	"log/slog"
	"math"
	"os"
	"runtime/debug"

	"github.com/rotisserie/eris"

	"shallotring.dev/platform/boot"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/guard"
	"shallotring.dev/transport/timeline"
)

// memoryLimitShare is the share of the process's memory limit that is set as the soft limit of the Go runtime. The platform kills a
// process that exceeds its limit, and buffers of the kernel count as well.
const memoryLimitShare = 0.7

// LimitMemory sets the soft limit of the Go runtime for a process that may use some bytes; 0 means as many as GOMEMLIMIT names, if it is set.
func LimitMemory(bytes int64) {
	system := guard.SystemMemory()
	if bytes <= 0 && debug.SetMemoryLimit(-1) != math.MaxInt64 {
		bytes = system
	}
	if bytes > 0 {
		debug.SetMemoryLimit(int64(float64(bytes) * memoryLimitShare))
	}
}

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
	LimitMemory(s.MemoryLimitBytes)
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
