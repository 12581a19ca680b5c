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
	startTimeout = 20 * time.Second
	startPoll    = 50 * time.Millisecond
	stopTimeout  = 10 * time.Second
	baseModel    = ident.BaseModel("base")
	zone         = "zone-a"
	slots        = 8
	batchSize    = 256
)

// Fleet starts programs as separate processes and stops exactly these.
type Fleet struct {
	// Bin is the directory of the programs, Dir that of the settings files and logs.
	Bin, Dir  string
	processes []*Process
}

// Process is one started program.
type Process struct {
	Name    string
	command *exec.Cmd
	ended   chan struct{}
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Start starts a program; its output goes to a file of the fleet's directory.
func (f *Fleet) Start(name, program string, args ...string) (p *Process, err error) {
	defer func() { err = eris.Wrapf(err, "start %s", name) }()
	out, err := os.Create(filepath.Join(f.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p = &Process{Name: name, command: exec.Command(filepath.Join(f.Bin, program), args...), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = out, out
	if err = p.command.Start(); err != nil {
		return nil, err
	}
	f.processes = append(f.processes, p)
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	return p, nil
}

// StartWithSettings starts a program with a settings file.
func (f *Fleet) StartWithSettings(name, program, text string) (p *Process, err error) {
	file := filepath.Join(f.Dir, name+".toml")
	if err = os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	return f.Start(name, program, "--settings="+file)
}

// Stop ends the started processes, the last one first.
func (f *Fleet) Stop() {
	for i := len(f.processes) - 1; i >= 0; i-- {
		p := f.processes[i]
		_ = p.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.ended:
		case <-time.After(stopTimeout):
			_ = p.command.Process.Kill()
			<-p.ended
		}
	}
	f.processes = nil
}

// FreeAddress returns a free address on loopback.
func FreeAddress() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// AwaitOK returns once the URL answers 200.
func AwaitOK(ctx context.Context, url string) (err error) {
	return Await(ctx, func() bool {
		a, err := http.Get(url)
		if err != nil {
			return false
		}
		defer a.Body.Close()
		_, _ = io.Copy(io.Discard, a.Body)
		return a.StatusCode == http.StatusOK
	}, url)
}

// Await returns once the condition holds.
func Await(ctx context.Context, condition func() bool, what string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return eris.Errorf("%s: not ready after %s", what, startTimeout)
		case <-time.After(startPoll):
		}
	}
	return nil
}

// declare writes the engines and adapters as an operator does.
func declare(ctx context.Context, url string, engines, adapters int) (err error) {
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

// Adapter returns the declaration of the adapter with the number; it has two versions.
func Adapter(i int) *resource.Adapter {
	a := &resource.Adapter{Name: ident.Adapter(fmt.Sprintf("adapter-%05d", i)), BaseModel: baseModel, Default: "v2"}
	for _, v := range []ident.Version{"v1", "v2"} {
		path := string(a.Name) + "/" + string(v)
		a.Versions = append(a.Versions, resource.AdapterVersion{Version: v, Path: path, Digest: engine.Digest(path)})
	}
	return a
}

// Engine returns the declaration of the engine with the number.
func Engine(i int) *resource.Endpoint {
	return &resource.Endpoint{
		Name: EngineName(i), Kind: resource.Engine, BaseModel: baseModel, Host: ident.Host(fmt.Sprintf("host-%d", i)),
		Zone: zone, ChecksFencing: true, Slots: slots, BatchSize: batchSize,
	}
}

// EngineName returns the name of the engine with the number.
func EngineName(i int) ident.Endpoint { return ident.Endpoint(fmt.Sprintf("engine-%d", i)) }

func quoted(list ...string) string { return `["` + strings.Join(list, `", "`) + `"]` }

// EntrySettings returns the settings file of an entry.
func EntrySettings(address, admin, peer, keyValue string) string {
	return fmt.Sprintf("Host = \"host-entry\"\nZone = %q\nAddress = %q\nAdminAddress = %q\nPeerAddress = %q\n"+
		"KeyValue = %s\nAllowAnonymous = true\nBalancerWait = \"0s\"\n", zone, address, admin, peer, quoted(keyValue))
}

// AgentSettings returns the settings file of an agent.
func AgentSettings(endpoint ident.Endpoint, baseURL, listen, admin, keyValue string) string {
	return fmt.Sprintf("Host = \"host-%s\"\nZone = %q\nEndpoint = %q\nBaseURL = %q\nPeerAddress = %q\nAdminAddress = %q\nKeyValue = %s\n",
		endpoint, zone, endpoint, baseURL, listen, admin, quoted(keyValue))
}
