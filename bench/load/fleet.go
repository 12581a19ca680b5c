package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/configuration"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/standin/engine"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

const (
	startTimeout      = 20 * time.Second
	startPollInterval = 50 * time.Millisecond
	stopTimeout       = 10 * time.Second
	baseModel         = ident.BaseModel("base")
	zone              = "zone-a"
	slots             = 8
	batchSize         = 256
)

// Fleet starts programs as separate processes and stops only the processes that it has started.
type Fleet struct {
	// Bin is the directory of the programs, Dir the directory for settings files and logs.
	Bin, Dir  string
	processes []*Process
}

// Process is one started program.
type Process struct {
	Name    string
	command *exec.Cmd
	exited  chan struct{}
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Start starts a program. Its output goes to a log file in Dir.
func (f *Fleet) Start(name, program string, args ...string) (p *Process, err error) {
	defer func() { err = eris.Wrapf(err, "start %s", name) }()
	out, err := os.Create(filepath.Join(f.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p = &Process{Name: name, command: exec.Command(filepath.Join(f.Bin, program), args...), exited: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = out, out
	if err = p.command.Start(); err != nil {
		return nil, err
	}
	f.processes = append(f.processes, p)
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// StartWithSettings starts a program with the given text as its settings file.
func (f *Fleet) StartWithSettings(name, program, text string) (p *Process, err error) {
	file := filepath.Join(f.Dir, name+".toml")
	if err = os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, eris.Wrapf(err, "write the settings file of %s", name)
	}
	return f.Start(name, program, "--settings="+file)
}

// Stop stops the started processes in reverse order and kills those that do not exit within stopTimeout.
func (f *Fleet) Stop() {
	for i := len(f.processes) - 1; i >= 0; i-- {
		p := f.processes[i]
		_ = p.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.exited:
		case <-time.After(stopTimeout):
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
	f.processes = nil
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port on loopback")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// WaitUntilOK polls the URL until its response has status 200.
func WaitUntilOK(ctx context.Context, url string) (err error) {
	return WaitUntil(ctx, func() bool {
		a, err := http.Get(url)
		if err != nil {
			return false
		}
		defer a.Body.Close()
		_, _ = io.Copy(io.Discard, a.Body)
		return a.StatusCode == http.StatusOK
	}, url)
}

// WaitUntil polls the condition until it is true. The error after startTimeout names what was waited for.
func WaitUntil(ctx context.Context, condition func() bool, what string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return eris.Errorf("%s: not ready after %s", what, startTimeout)
		case <-time.After(startPollInterval):
		}
	}
	return nil
}

// declareResources writes the resources of engines and adapters in the way of the operator's commands.
func declareResources(ctx context.Context, url string, engines, adapters int) (err error) {
	defer func() { err = eris.Wrap(err, "declare the resources") }()
	store, err := keyvalue.New([]string{url})
	if err != nil {
		return err
	}
	defer store.Close()
	editor := configuration.NewEditor(store, quartz.NewReal())
	for _, r := range resources(engines, adapters) {
		if _, err = editor.Put(ctx, r, 0); err != nil {
			return err
		}
	}
	return nil
}

func resources(engines, adapters int) (list []any) {
	for i := range adapters {
		list = append(list, Adapter(i))
	}
	for i := range engines {
		list = append(list, Engine(i))
	}
	policy := resource.DefaultPolicy()
	policy.QueuePerEndpoint = 1024
	return append(list, &policy)
}

// Adapter returns the resource of the adapter with the given number, which has two versions.
func Adapter(i int) *resource.Adapter {
	a := &resource.Adapter{Name: ident.Adapter(fmt.Sprintf("adapter-%05d", i)), BaseModel: baseModel, Default: "v2"}
	for _, v := range []ident.Version{"v1", "v2"} {
		path := string(a.Name) + "/" + string(v)
		a.Versions = append(a.Versions, resource.AdapterVersion{Version: v, Path: path, Digest: engine.Digest(path)})
	}
	return a
}

// Engine returns the resource of the engine with the given number.
func Engine(i int) *resource.Endpoint {
	return &resource.Endpoint{
		Name: EngineName(i), Kind: resource.Engine, BaseModel: baseModel, Host: ident.Host(fmt.Sprintf("host-%d", i)),
		Zone: zone, ChecksFencing: true, Slots: slots, BatchSize: batchSize,
	}
}

// EngineName returns the name of the engine with the given number.
func EngineName(i int) ident.Endpoint { return ident.Endpoint(fmt.Sprintf("engine-%d", i)) }

// tomlStrings formats a list of strings as a TOML array.
func tomlStrings(list ...string) string { return `["` + strings.Join(list, `", "`) + `"]` }

// EntrySettings returns the text of an entry's settings file.
func EntrySettings(address, admin, peer, keyValue string) string {
	return fmt.Sprintf("Host = \"host-entry\"\nZone = %q\nAddress = %q\nAdminAddress = %q\nPeerAddress = %q\n"+
		"KeyValue = %s\nAllowAnonymous = true\nBalancerWait = \"0s\"\n", zone, address, admin, peer, tomlStrings(keyValue))
}

// AgentSettings returns the text of an agent's settings file.
func AgentSettings(endpoint ident.Endpoint, baseURL, listen, admin, keyValue string) string {
	return fmt.Sprintf("Host = \"host-%s\"\nZone = %q\nEndpoint = %q\nBaseURL = %q\nPeerAddress = %q\nAdminAddress = %q\nKeyValue = %s\n",
		endpoint, zone, endpoint, baseURL, listen, admin, tomlStrings(keyValue))
}
