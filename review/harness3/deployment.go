//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shallotring.dev/platform/standin"
)

const (
	controlPort, frontPort, readyPort, enginePort, storePort, metricsPort = 7380, 8149, 8141, 8145, 8142, 9464

	host     = "review.example"
	model    = "base"
	contact  = 3 * time.Second
	beatTime = 1200 * time.Millisecond
)

// deployment is a running system: the store in this process, the engines and the project's programs as processes of their own.
type deployment struct {
	programs string // folder of the project's programs
	dir      string // temporary folder
	octet    int
	store    *standin.Store
	record   *record

	mu        sync.Mutex
	processes []*process
	engines   []*engineProcess
	entries   []*process
	agents    []*process
	proxies   []*proxy
	lines     []line
	done      chan struct{}
	// memoryMb and descriptors are the limits of each machine.
	memoryMb, descriptors int
}

// process is a process that the case has started.
type process struct {
	name string
	cmd  *exec.Cmd
	// at is the address at which callers reach an entry.
	at    string
	ended atomic.Bool
}

type engineProcess struct {
	process
	service, address, inner, model string
	slots                          int
	input                          io.WriteCloser
}

func openDeployment(programs string, r *record) (d *deployment, err error) {
	d = &deployment{programs: programs, store: standin.NewStore(), record: r, done: make(chan struct{}), memoryMb: 284, descriptors: 4100}
	if d.dir, err = os.MkdirTemp("", "review3-"); err != nil {
		return nil, err
	}
	for d.octet = 20; d.octet < 250; d.octet++ {
		var l net.Listener
		if l, err = net.Listen("tcp", d.address(0, 1, storePort)); err == nil {
			go func() { _ = http.Serve(l, d.store) }()
			go d.beat()
			return d, nil
		}
	}
	return nil, err
}

// address returns an address in the loopback network of the case.
func (d *deployment) address(group, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", d.octet, group, number, port)
}

func (d *deployment) ip(group, number int) string {
	return strings.TrimSuffix(d.address(group, number, 1), ":1")
}

// start starts a program in a process group of its own. Its output goes to a file unless out is set.
func (d *deployment) start(p *process, in *os.File, out io.Writer, program string, environment []string, arguments ...string) (err error) {
	p.cmd = exec.Command(program, arguments...)
	p.cmd.Env = append(os.Environ(), environment...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if in != nil {
		defer in.Close()
		p.cmd.Stdin = in
	}
	if p.cmd.Stdout, p.cmd.Stderr = out, os.Stderr; out == nil {
		f, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer f.Close()
		p.cmd.Stdout, p.cmd.Stderr = f, f
	}
	if err = p.cmd.Start(); err != nil {
		return err
	}
	p.ended.Store(false)
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	go func() {
		_ = p.cmd.Wait()
		p.ended.Store(true)
		d.record.write("process ended", map[string]any{"name": p.name, "state": p.cmd.ProcessState.String()})
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	if !p.ended.Load() {
		_ = p.cmd.Process.Signal(s)
	}
}

// addEngine starts an engine. Callers reach it through the address in group 2, which is that of a proxy if proxied is set.
func (d *deployment) addEngine(id, service, model string, slots int, proxied bool, options ...string) (e *engineProcess, err error) {
	n := len(d.engines) + 1
	e = &engineProcess{process: process{name: id}, service: service, model: model, slots: slots, inner: d.address(1, n, enginePort), address: d.address(1, n, enginePort)}
	if proxied {
		e.address = d.address(2, n, enginePort)
		for _, port := range []int{enginePort, controlPort} {
			p, err := newProxy(d.address(2, n, port), d.address(1, n, port))
			if err != nil {
				return nil, err
			}
			d.proxies = append(d.proxies, p)
		}
	}
	r, w := io.Pipe()
	go d.readLines(r)
	arguments := append([]string{"engine", "-listen", e.inner, "-id", id, "-service", service, "-model", model, "-slots", fmt.Sprint(slots)}, options...)
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	in, out, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	e.input = out
	if err = d.start(&e.process, in, w, self, nil, arguments...); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.engines = append(d.engines, e)
	d.mu.Unlock()
	return e, nil
}

func (e *engineProcess) command(text string) { _, _ = fmt.Fprintln(e.input, text) }

// readLines collects what an engine writes.
func (d *deployment) readLines(r io.Reader) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		var l line
		if json.Unmarshal(s.Bytes(), &l) != nil {
			continue
		}
		d.mu.Lock()
		d.lines = append(d.lines, l)
		d.mu.Unlock()
		d.record.writeRaw("engine", s.Bytes())
	}
}

// seen returns what the engines have written so far.
func (d *deployment) seen() []line {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]line(nil), d.lines...)
}

// beat writes the entries of the engines that live to the store, as these do, and removes those of the others after three intervals.
func (d *deployment) beat() {
	silent := make(map[*engineProcess]int)
	for {
		d.mu.Lock()
		list := append([]*engineProcess(nil), d.engines...)
		d.mu.Unlock()
		for _, e := range list {
			if e.ended.Load() {
				if silent[e]++; silent[e] == 3 {
					d.store.Delete("servers/" + e.name)
				}
				continue
			}
			d.register(e)
		}
		select {
		case <-d.done:
			return
		case <-time.After(beatTime):
		}
	}
}

func (d *deployment) register(e *engineProcess) {
	value := map[string]any{"service": e.service, "address": e.address, "zone": "a", "version": "v1", "slots": e.slots, "state": "ready", "coldLeftMs": 0, "seq": 0}
	c := http.Client{Timeout: 300 * time.Millisecond}
	response, err := c.Get("http://" + e.inner + "/report")
	if err != nil {
		return
	}
	defer response.Body.Close()
	var report struct {
		Models []any
		Seq    int64
		Born   int64
	}
	if json.NewDecoder(response.Body).Decode(&report) != nil {
		return
	}
	value["seq"], value["born"] = report.Seq, report.Born
	if e.model != "" {
		value["models"], value["stage"] = report.Models, "colocated"
	}
	b, _ := json.Marshal(value)
	d.store.Put("servers/"+e.name, b)
}

// settings returns the settings that all processes share.
func (d *deployment) settings(name, ip string) []string {
	return []string{"node=" + name, "zone=a", "region=r", "zones.a=r", "ip=" + ip, fmt.Sprintf("portRange=%d,%d", controlPort, controlPort+15), "bootstrap=true", "inFaultBudget=false",
		"limits.cpuShare=0.32", "limits.cores=1", fmt.Sprint("limits.memoryMb=", d.memoryMb), fmt.Sprint("limits.maxFds=", d.descriptors), "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configMs=2000", "bounds.downgradeMs=250",
		"bounds.maxSkewMs=5000", "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetExtra=54", "bounds.recoveryS=12", "bounds.maxDelayMs=120", "bounds.enforceFencing=true",
		"bounds.leaseMs=3000", "bounds.thawMs=300", "bounds.version_ms=5000", "platform.address=" + d.address(0, 1, storePort), "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000",
		"platform.historyS=20", "platform.valueBytes=1048576", "platform.minTtlMs=1000"}
}

func (d *deployment) startProgram(p *process, program, ip string, settings []string) (err error) {
	path := filepath.Join(d.dir, p.name+".conf")
	if err = os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	// The deploy file's command, with the metrics at an address of the machine, since all machines are one here.
	return d.start(p, nil, nil, filepath.Join(d.programs, program), []string{"SHALLOTRING_SETTINGS=" + path}, "platform", fmt.Sprintf("--metrics=%s:%d", ip, metricsPort))
}

// addAgent starts the agent beside an engine.
func (d *deployment) addAgent(e *engineProcess) (err error) {
	ip, _, _ := net.SplitHostPort(e.inner)
	p := &process{name: "side-" + e.name}
	d.agents = append(d.agents, p)
	return d.startProgram(p, "agent", ip, append(d.settings(p.name, ip), "role=agent", "machineClass=side", "serves=side", "app="+e.inner, "service="+e.service))
}

func (d *deployment) addEntry() (err error) {
	n := len(d.entries) + 1
	ip := d.ip(3, n)
	p := &process{name: fmt.Sprint("edge-", n), at: d.address(3, n, frontPort)}
	d.entries = append(d.entries, p)
	return d.startProgram(p, "entry", ip, append(d.settings(p.name, ip), "role=entry", "machineClass=edge", "serves=edge", "listen.front="+p.at, "listen.ready="+d.address(3, n, readyPort)))
}

// ready reports whether all entries say that they are ready.
func (d *deployment) ready() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	for n := range d.entries {
		response, err := c.Get("http://" + d.address(3, n+1, readyPort) + "/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// awaitReady waits until all entries are ready and some time longer, in which their agents connect and load.
func (d *deployment) awaitReady(more time.Duration) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.ready() {
			time.Sleep(more)
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready")
}

// close ends all processes that the case has started.
func (d *deployment) close() {
	close(d.done)
	d.mu.Lock()
	list := append([]*process(nil), d.processes...)
	d.mu.Unlock()
	for _, p := range list {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		left := 0
		for _, p := range list {
			if !p.ended.Load() {
				left++
			}
		}
		if left == 0 {
			break
		}
	}
	for _, p := range d.proxies {
		p.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", d.dir)
	}
}
