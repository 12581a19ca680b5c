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
	Platform platformCommand `cmd:"" help:"Run beside an engine on the platform, with the settings file that the platform provides."`
	Check    checkCommand    `cmd:"" help:"Check a settings file."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

type runCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file (TOML)."`
}

type platformCommand struct {
	program.Platform `embed:""`
}

// Run serves with the settings file that the platform provides.
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
	c := kong.Parse(&commandLine{}, kong.Name("agent"), kong.Description("Runs beside one endpoint and is the only process that sends commands to it."))
	c.FatalIfErrorf(c.Run())
}

// Run serves until the first signal, then drains the agent and returns; a second signal stops it at once.
func (r *runCommand) Run() (err error) {
	s, err := loadSettings(r.Settings)
	if err != nil {
		return err
	}
	process := ident.NewProcess(string(registry.RoleAgent))
	program.LimitMemory(0)
	log := timeline.New(os.Stderr, timeline.Process{ID: process, Role: string(registry.RoleAgent), Host: s.Host, Zone: s.Zone}, slog.LevelInfo)
	a, err := node.NewAgent(s, log, process)
	if err != nil {
		return err
	}
	ctx, cancel := program.Context(log.Logger, a.Stop)
	defer cancel()
	return a.Run(ctx)
}

// Run returns the first error in the file.
func (c *checkCommand) Run(k *kong.Context) (err error) {
	if _, err = loadSettings(c.File); err != nil {
		return err
	}
	return eris.Wrap(printLine(k, c.File+": ok"), "print the result")
}

// Run prints the commit that the program was built from or, without one, the version of its module.
func (*versionCommand) Run(k *kong.Context) (err error) {
	return eris.Wrap(printLine(k, "agent "+program.Version()), "print the version")
}

func loadSettings(file string) (s node.AgentSettings, err error) {
	s = node.DefaultAgentSettings()
	err = settings.Load(file, &s)
	return s, err
}

func printLine(k *kong.Context, text string) (err error) {
	_, err = k.Stdout.Write([]byte(text + "\n"))
	return err
}
