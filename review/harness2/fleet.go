//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"shallotring.dev/platform/standin"
)

// Ports of the stand-ins and programs; each host has an address of its own.
const (
	storePort, frontPort, readyPort, serverPort, controlPort, metricsPort = 8142, 8149, 8141, 8520, 7380, 9464
)

// heartbeat is the interval at which servers register with the store.
const heartbeat = 1200 * time.Millisecond

// fleet is a small deployment: the store and the servers are stand-ins.
type fleet struct {
	programs string
	dir      string
	octet    int
	store    *standin.Store
	listener net.Listener

	mu        sync.Mutex
	record    *os.File
	start     time.Time
	processes []*process
	closed    chan struct{}
}

// process is a program of the project, or a server.
type process struct {
	name string
	// log is the file of its output; isServer is set for servers, which write what they run.
	log      string
	isServer bool
	cmd      *exec.Cmd
	done     chan struct{}
}

func newFleet(programs, record string) (f *fleet, err error) {
	f = &fleet{programs: programs, store: standin.NewStore(), start: time.Now(), closed: make(chan struct{})}
	for _, program := range []string{"entry", "agent"} {
		if _, err = os.Stat(filepath.Join(programs, program)); err != nil {
			return nil, fmt.Errorf("the programs are not built: %w", err)
		}
	}
	if f.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if f.record, err = os.Create(record); err != nil {
		return nil, err
	}
	for f.octet = 20; f.octet < 250; f.octet++ {
		if f.listener, err = net.Listen("tcp", f.at(0, 1, storePort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(f.listener, f.store) }()
	return f, nil
}

// at returns an address of the deployment's own loopback network.
func (f *fleet) at(group, host, port int) string {
	return net.JoinHostPort(f.ip(group, host), fmt.Sprint(port))
}

func (f *fleet) ip(group, host int) string { return fmt.Sprintf("127.%d.%d.%d", f.octet, group, host) }

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// spawn starts a process and keeps it until close.
func (f *fleet) spawn(name string, env []string, program string, args ...string) (p *process, err error) {
	out, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano())))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	c := exec.Command(program, args...)
	c.Env = append(os.Environ(), env...)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = c.Start(); err != nil {
		return nil, err
	}
	p = &process{name: name, log: out.Name(), isServer: program == selfProgram(), cmd: c, done: make(chan struct{})}
	go func() {
		_ = c.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, nil
}

// kill ends a process as a crash does and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (f *fleet) close() {
	close(f.closed)
	f.mu.Lock()
	list := f.processes
	f.mu.Unlock()
	for _, p := range list {
		p.kill()
	}
	_ = f.listener.Close()
	f.noteRuns()
	_ = f.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", f.dir)
	}
}

// settings returns the lines of a settings file that all processes have; the bounds are those of the first site.
func (f *fleet) settings(name, ip string) string {
	return strings.Join([]string{"node=" + name, "zone=alverca-a", "region=pt-lisboa", "ip=" + ip, "portRange=" + fmt.Sprintf("%d,%d", controlPort, controlPort+15),
		"limits.memoryMb=284", "limits.maxFds=4100", "heartbeatMs=1200", "bounds.contactMs=3000", "bounds.drainMs=2000", "bounds.configMs=2000", "bounds.graceS=8",
		"bounds.budgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetExtra=54", "platform.address=" + f.at(0, 1, storePort), "platform.form=kv"}, "\n") + "\n"
}

// startEntry starts an entry with the command of the deploy file. Each host has its own address for the metrics here.
func (f *fleet) startEntry(host int) (p *process, err error) {
	ip, name := f.ip(1, host), fmt.Sprint("edge-", host)
	text := f.settings(name, ip) + "role=entry\nmachineClass=edge\nlisten.front=" + f.at(1, host, frontPort) + "\nlisten.ready=" + f.at(1, host, readyPort) + "\n"
	return f.startProgram("entry", name, ip, text)
}

// startAgent starts the agent of an engine.
func (f *fleet) startAgent(host int, service string) (p *process, err error) {
	ip, name := f.ip(2, host), fmt.Sprint("side-", host)
	text := f.settings(name, ip) + "role=agent\nmachineClass=side\napp=" + f.at(2, host, serverPort) + "\nservice=" + service + "\n"
	return f.startProgram("agent", name, ip, text)
}

func (f *fleet) startProgram(program, name, ip, text string) (p *process, err error) {
	file := filepath.Join(f.dir, name+".conf")
	if err = os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p, err = f.spawn(name, []string{"SHALLOTRING_SETTINGS=" + file}, filepath.Join(f.programs, program), "platform", fmt.Sprintf("--metrics=%s:%d", ip, metricsPort))
	if err == nil {
		f.note("%s started", name)
	}
	return p, err
}

// waitReady waits until an entry reports that it is ready.
func (f *fleet) waitReady(host int) (err error) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + f.at(1, host, readyPort) + "/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the entry is not ready")
}

// configure writes a configuration as the operator does.
func (f *fleet) configure(version int64, routes, services []map[string]any) {
	b, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000}})
	if err != nil {
		panic(err)
	}
	f.store.Put("op/config", b)
	f.note("operator wrote configuration %d", version)
}

// selfProgram is the path of this program, which also serves as a server.
func selfProgram() string {
	path, err := os.Executable()
	if err != nil {
		panic(err)
	}
	return path
}

// noteRuns adds to the record what each server has run.
func (f *fleet) noteRuns() {
	for _, p := range f.processes {
		if b, err := os.ReadFile(p.log); p.isServer && err == nil {
			fmt.Fprintf(f.record, "server %s:\n%s", p.name, b)
		}
	}
}
