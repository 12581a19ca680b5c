package operator

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kong"
	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/configuration"
	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/socket"
	"shallotring.dev/transport/server"
	"shallotring.dev/transport/settings"
	"shallotring.dev/transport/timeline"
)

// Exit codes of the program.
const (
	ExitSuccess = iota
	ExitFailure
	ExitUsage
	ExitConflict
	ExitUnavailable
	ExitUnknown
	ExitNotInForce
	ExitNotFound
)

const description = `Declares adapters, versions, routes and endpoints, and shows what is in force.

Exit codes:

    0  success
    1  failure not listed below
    2  wrong usage, or a file that is missing or has an invalid resource
    3  conflict: the resource is not at the expected revision
    4  the key-value service is unavailable; nothing was written
    5  the outcome of a write is unknown; read the resource before retrying
    6  a revision is not in force at each live process
    7  the named resource, endpoint or agent does not exist

Examples:

    shallotring apply -f adapters.toml --wait 5s
    shallotring get Adapter/core-log --output toml > core-log.toml
    shallotring apply -f core-log.toml --revision 1234
    shallotring status Adapter/core-log
    shallotring drain engine-07
    shallotring timeline --request req-0123 entry.log agent.log`

// Errors that have an exit code of their own.
var (
	errUsage      = eris.New("invalid input")
	errNotInForce = eris.New("not in force at each live process")
	errNotFound   = eris.New("not found")
)

// Streams are the standard streams of the program.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// commands defines the flags and commands of the command line.
type commands struct {
	Service  []string      `help:"Base URLs of the key-value service." env:"SHALLOTRING_SERVICE" default:"http://127.0.0.1:2379" placeholder:"URL"`
	Timeout  time.Duration `help:"Time limit for the calls of one command." default:"10s"`
	Output   string        `help:"Output format: table, json, or toml (get only)." enum:"table,json,toml" default:"table" short:"o"`
	CAFile   string        `help:"PEM file of the CA certificates that verify the key-value service and the processes." placeholder:"FILE"`
	CertFile string        `help:"PEM file of the operator's certificate." placeholder:"FILE"`
	KeyFile  string        `help:"PEM file of the operator's key." placeholder:"FILE"`

	Apply    applyCommand    `cmd:"" help:"Write the resources of a TOML file."`
	Get      getCommand      `cmd:"" help:"Show resources and their revisions."`
	Delete   deleteCommand   `cmd:"" help:"Delete a resource."`
	Watch    watchCommand    `cmd:"" help:"Show changes of resources when they are written and when they are in force."`
	Status   statusCommand   `cmd:"" help:"Show where resources are in force."`
	Drain    drainCommand    `cmd:"" help:"Let an endpoint finish its requests and accept no new ones."`
	Timeline timelineCommand `cmd:"" help:"Merge the logs of several processes, sorted by time."`
	Check    checkCommand    `cmd:"" help:"Examine a configuration before it is written: errors, entries that never match, contradictions, differences. Exit codes: 0 no errors, 1 errors that refuse or harm callers, 2 the file or what it is compared with cannot be read."`
	Version  versionCommand  `cmd:"" help:"Show the version of the program."`
}

// helpExit is the panic value that carries the exit code of --help out of the parser.
type helpExit int

// Run executes the command line and returns the exit code. Options can add commands with kong.DynamicCommand.
func Run(ctx context.Context, args []string, streams Streams, options ...kong.Option) (code int) {
	defer func() {
		if r := recover(); r != nil {
			e, ok := r.(helpExit)
			if !ok {
				panic(r)
			}
			code = int(e)
		}
	}()
	var c commands
	options = append(options,
		kong.Name("shallotring"),
		kong.Description(description),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { panic(helpExit(code)) }),
	)
	parser, err := kong.New(&c, options...)
	if err != nil {
		return reportError(streams, err)
	}
	k, err := parser.Parse(args)
	if err != nil {
		return reportError(streams, eris.Wrap(errUsage, err.Error()))
	}
	s := &session{commands: &c, Streams: streams, clock: quartz.NewReal()}
	k.BindTo(ctx, (*context.Context)(nil))
	return reportError(streams, k.Run(s))
}

func reportError(streams Streams, err error) (code int) {
	if err == nil {
		return ExitSuccess
	}
	io.WriteString(streams.Err, "shallotring: "+err.Error()+"\n")
	return exitCode(err)
}

func exitCode(err error) (code int) {
	var conflict *configuration.Conflict
	switch {
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, keyvalue.ErrOutcomeUnknown):
		return ExitUnknown
	case errors.Is(err, keyvalue.ErrUnavailable):
		return ExitUnavailable
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.Is(err, errNotFound):
		return ExitNotFound
	}
	return ExitFailure
}

// session holds the flags, streams and clock that all commands share.
type session struct {
	*commands
	Streams
	clock quartz.Clock
}

// withTimeout returns a context with the time limit for a command that makes a fixed number of calls.
func (s *session) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.Timeout)
}

func (s *session) transport() (t *http.Transport, err error) {
	files := settings.TLS{CAFile: s.CAFile, CertFile: s.CertFile, KeyFile: s.KeyFile}
	dial := socket.Dial((&net.Dialer{}).DialContext)
	t = &http.Transport{DialContext: dial}
	if s.usesTLS() {
		t.DialTLSContext, err = server.DialTLS(files, dial)
	}
	return t, err
}

func (s *session) usesTLS() bool { return s.CAFile != "" || s.CertFile != "" || s.KeyFile != "" }

// client returns a client for the key-value service, and a function that closes its idle connections.
func (s *session) client() (c *keyvalue.Client, closeClient func(), err error) {
	t, err := s.transport()
	if err != nil {
		return nil, nil, err
	}
	c, err = keyvalue.New(s.Service, keyvalue.WithTransport(t), keyvalue.WithTimeout(s.Timeout))
	return c, t.CloseIdleConnections, err
}

func (s *session) editor(c *keyvalue.Client) *configuration.Editor {
	return configuration.NewEditor(c, s.clock)
}

// registryView returns the current registry of live processes and claims.
func (s *session) registryView(ctx context.Context, c *keyvalue.Client) (v *registry.View, err error) {
	v = registry.NewView(c, s.clock, timeline.Discard())
	return v, eris.Wrap(v.Read(ctx), "read the live processes")
}
