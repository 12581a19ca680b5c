package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"shallotring.dev/bench/load"
	"shallotring.dev/standin/keyvalue"
)

// Commands counts the calls and bytes that the operator's commands cause at the key-value service.
type Commands struct {
	Bin       string `help:"Directory of the programs." default:"bin"`
	Adapters  int    `help:"Number of adapters." default:"40000"`
	Endpoints int    `help:"Number of endpoints without live agents." default:"600"`
}

// exitNotInForce is the exit code of shallotring for a revision that is not in force at every live process.
const exitNotInForce = 6

const adapterFileFormat = "[[Adapter]]\nName = \"adapter-00001\"\nBaseModel = \"base\"\nDefault = \"v1\"\n" +
	"[[Adapter.Versions]]\nVersion = \"v1\"\nPath = \"adapter-00001/v1\"\nDigest = \"%064d\"\n"

// Run prints one line per command.
func (c *Commands) Run(ctx context.Context, out io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "measure the commands") }()
	s, err := newService()
	if err != nil {
		return err
	}
	defer s.stop()
	if err = s.declare(ctx, c.Adapters, c.Endpoints); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	file := filepath.Join(dir, "adapter.toml")
	if err = os.WriteFile(file, fmt.Appendf(nil, adapterFileFormat, 1), 0o600); err != nil {
		return eris.Wrap(err, "write the file with the adapter")
	}
	for _, args := range [][]string{
		{"get", "Adapter/adapter-00001"}, {"get", "Adapter"}, {"apply", "--file=" + file}, {"status", "Adapter/adapter-00001"},
	} {
		if err = c.runCommand(ctx, out, s, args); err != nil {
			return err
		}
	}
	return nil
}

// runCommand runs shallotring with the arguments and prints the calls, bytes and processor time.
func (c *Commands) runCommand(ctx context.Context, out io.Writer, s *service, args []string) (err error) {
	before, bytes := s.Calls(), s.traffic.total()
	p := exec.CommandContext(ctx, filepath.Join(c.Bin, "shallotring"), append(args, "--service="+s.url)...)
	// Without live processes, status makes all its calls and exits with exitNotInForce.
	if text, err := p.CombinedOutput(); err != nil && p.ProcessState.ExitCode() != exitNotInForce {
		return eris.Wrapf(err, "shallotring %s failed with the output %.200s", strings.Join(args, " "), text)
	}
	after := s.Calls()
	_, err = fmt.Fprintf(out, "command: %s adapters=%d endpoints=%d range=%d txn=%d watch=%d bytes=%d cpu_ms=%d load_average=%s\n",
		args[0], c.Adapters, c.Endpoints, after[keyvalue.CallRange]-before[keyvalue.CallRange],
		after[keyvalue.CallTxn]-before[keyvalue.CallTxn], after[keyvalue.CallWatch]-before[keyvalue.CallWatch],
		s.traffic.total()-bytes, (p.ProcessState.UserTime() + p.ProcessState.SystemTime()).Milliseconds(), load.MachineLoad())
	return err
}
