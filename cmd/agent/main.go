// Command agent runs beside one endpoint and is the only process that sends commands to it.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"shallotring.dev/daemon/agent"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/settings"
	"shallotring.dev/transport/timeline"
)

type commandLine struct {
	Run     runCommand     `cmd:"" default:"withargs" help:"Run the agent (the default command)."`
	Check   checkCommand   `cmd:"" help:"Check a settings file."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type runCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file (TOML)."`
}

type checkCommand struct {
	File string `arg:"" help:"Settings file (TOML)."`
}

type versionCommand struct{}

func main() {
	c := kong.Parse(&commandLine{}, kong.Name("agent"), kong.Description("Runs beside one endpoint and sends it all its commands."))
	c.FatalIfErrorf(c.Run())
}

// Run serves until the first signal has drained the agent; a second signal stops it at once.
func (r *runCommand) Run() (err error) {
	var s agent.Settings
	if err = settings.Load(r.Settings, &s); err != nil {
		return err
	}
	process := ident.NewProcess("agent")
	log := timeline.New(os.Stderr, timeline.Process{ID: process, Role: "agent", Host: s.Host, Zone: s.Zone}, slog.LevelInfo)
	a, err := agent.New(s, agent.WithLog(log), agent.WithProcess(process))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go stopOnSignals(log, cancel, a.Stop)
	return a.Run(ctx)
}

func stopOnSignals(log *timeline.Log, drain, stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	drain()
	<-signals
	log.Warn("second signal: running tries are interrupted")
	stop()
}

// Run reports the first fault of the file.
func (c *checkCommand) Run(k *kong.Context) (err error) {
	if err = settings.Load(c.File, &agent.Settings{}); err != nil {
		return err
	}
	return eris.Wrap(printLine(k, c.File+": ok"), "print")
}

// Run prints the version of the module or the revision that the program was built from.
func (*versionCommand) Run(k *kong.Context) (err error) {
	return eris.Wrap(printLine(k, "agent "+version()), "print")
}

func printLine(k *kong.Context, text string) (err error) {
	_, err = k.Stdout.Write([]byte(text + "\n"))
	return err
}

func version() string {
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
