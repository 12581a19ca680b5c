// Command entry serves the API for callers and sends the tries of each request to the agents of the endpoints.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"shallotring.dev/daemon/direct"
	"shallotring.dev/daemon/node"
	"shallotring.dev/daemon/program"
	"shallotring.dev/platform/boot"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/settings"
	"shallotring.dev/transport/timeline"
)

type commandLine struct {
	Run        runCommand        `cmd:"" default:"withargs" help:"Run the entry (the default command)."`
	Platform   platformCommand   `cmd:"" help:"Run as an entry on the platform, with the settings file that the platform provides."`
	Quarantine quarantineCommand `cmd:"" help:"List the prompt parts and requests on which engines crash, or lift the quarantine of one, on the platform."`
	Check      checkCommand      `cmd:"" help:"Check a settings file."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

type runCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file (TOML)."`
}

// Run serves until the first signal, then stops gracefully; a second signal aborts the requests in progress.
func (r *runCommand) Run() (err error) {
	s, err := loadSettings(r.Settings)
	if err != nil {
		return err
	}
	process := ident.NewProcess("entry")
	program.LimitMemory(0)
	log := timeline.New(os.Stderr, timeline.Process{ID: process, Role: "entry", Host: s.Host, Zone: s.Zone}, slog.LevelInfo)
	e, err := node.NewEntry(s, log, process)
	if err != nil {
		return err
	}
	ctx, cancel := program.Context(log.Logger, func() { e.Abort("second signal") })
	defer cancel()
	return e.Run(ctx)
}

type platformCommand struct {
	program.Platform `embed:""`
}

// Run serves with the settings file that the platform provides.
func (p *platformCommand) Run() (err error) {
	return p.Platform.Run("entry", func(ctx context.Context, s boot.Settings, log *slog.Logger) (err error) {
		return direct.NewEntry(s, log).Run(ctx, p.Metrics)
	})
}

type quarantineCommand struct {
	Lift string `placeholder:"ID" help:"Id of the part, or fingerprint of the request, whose quarantine ends, in hexadecimal."`
}

// Run reads or writes the store that the settings file of the platform names.
func (q *quarantineCommand) Run() (err error) {
	s, err := boot.Load(boot.Path())
	if err != nil {
		return err
	}
	if q.Lift != "" {
		return direct.LiftQuarantine(context.Background(), s, q.Lift)
	}
	return direct.WriteQuarantine(context.Background(), s, os.Stdout)
}

type checkCommand struct {
	File string `arg:"" help:"Settings file (TOML)."`
}

// Run returns the first error in the file.
func (c *checkCommand) Run() (err error) {
	if _, err = loadSettings(c.File); err != nil {
		return err
	}
	_, err = fmt.Println(c.File + ": ok")
	return eris.Wrap(err, "print the result")
}

type versionCommand struct{}

// Run prints the commit that the program was built from or, without one, the version of its module.
func (*versionCommand) Run() (err error) {
	_, err = fmt.Println("entry " + program.Version())
	return eris.Wrap(err, "print the version")
}

func loadSettings(file string) (s node.EntrySettings, err error) {
	s = node.DefaultEntrySettings()
	err = settings.Load(file, &s)
	return s, err
}

func main() {
	c := kong.Parse(&commandLine{}, kong.Name("entry"), kong.Description("Serves the API for the callers of a shallotring deployment."))
	c.FatalIfErrorf(c.Run())
}
