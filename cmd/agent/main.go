// Command agent runs beside one endpoint and is the only process that sends commands to it.
package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/daemon/direct"
	"shallotring.dev/daemon/node"
	"shallotring.dev/daemon/program"
	"shallotring.dev/platform/boot"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/settings"
	"shallotring.dev/transport/timeline"
)

type commandLine struct {
	Run      runCommand      `cmd:"" default:"withargs" help:"Run the agent (the default command)."`
	Platform platformCommand `cmd:"" help:"Run beside an engine on the users' platform."`
	Check    checkCommand    `cmd:"" help:"Check a settings file."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

type runCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file (TOML)."`
}

type platformCommand struct {
	program.Platform `embed:""`
}

// Run serves with the settings file that the environment names.
func (p *platformCommand) Run() (err error) {
	return p.Platform.Run("agent", func(ctx context.Context, s boot.Settings, log *slog.Logger) (err error) {
		return direct.NewAgent(s, log).Run(ctx, p.Metrics)
	})
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
	s, err := load(r.Settings)
	if err != nil {
		return err
	}
	process := ident.NewProcess(string(registry.RoleAgent))
	log := timeline.New(os.Stderr, timeline.Process{ID: process, Role: string(registry.RoleAgent), Host: s.Host, Zone: s.Zone}, slog.LevelInfo)
	a, err := node.NewAgent(s, log, process)
	if err != nil {
		return err
	}
	ctx, cancel := program.Context(log.Logger, a.Stop)
	defer cancel()
	return a.Run(ctx)
}

// Run reports the first fault of the file.
func (c *checkCommand) Run(k *kong.Context) (err error) {
	if _, err = load(c.File); err != nil {
		return err
	}
	return eris.Wrap(printLine(k, c.File+": ok"), "print")
}

// Run prints the version of the module or the revision that the program was built from.
func (*versionCommand) Run(k *kong.Context) (err error) {
	return eris.Wrap(printLine(k, "agent "+program.Version()), "print")
}

func load(file string) (s node.AgentSettings, err error) {
	s = node.DefaultAgentSettings()
	err = settings.Load(file, &s)
	return s, err
}

func printLine(k *kong.Context, text string) (err error) {
	_, err = k.Stdout.Write([]byte(text + "\n"))
	return err
}
