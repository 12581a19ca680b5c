package live

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/platform/standin"
)

// process is one program of the system on its host. It may be restarted any number of times with the same settings.
type process struct {
	host     string
	program  string
	settings standin.Settings
	dir      string
	judge    *judge

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	exitExpected bool
	incarnation  int
	// startedAt is the start time of the running process.
	startedAt time.Time
}

func (p *process) file(extension string) string { return filepath.Join(p.dir, p.host+"."+extension) }

// writeSettings replaces the settings file in one step, as the process may read it at any time.
func (p *process) writeSettings() (err error) {
	next := p.file("next")
	if err = os.WriteFile(next, p.settings.Encode(), 0o600); err != nil {
		return eris.Wrap(err, "write settings file")
	}
	return eris.Wrap(os.Rename(next, p.file("conf")), "replace settings file")
}

// start starts the program if it does not run.
func (p *process) start() (err error) {
	defer func() { err = eris.Wrapf(err, "start %s", p.host) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The process has its own descriptor of the file.
	defer func() { err = errors.Join(err, out.Close()) }()
	c := exec.Command(p.program, "platform")
	// In a program that is built with -race, the first data race ends the process.
	c.Env = append(os.Environ(), "SHALLOTRING_SETTINGS="+p.file("conf"), "GORACE=atexit_sleep_ms=0 halt_on_error=1")
	c.Stdout, c.Stderr = out, out
	// The processes end with the soak, also when it is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.exitExpected, p.startedAt = c, exited, false, time.Now()
	p.incarnation++
	go p.waitForExit(c, exited)
	return nil
}

// waitForExit waits for the end of one process. An exit is a violation if it was not requested or its code is not 0.
func (p *process) waitForExit(c *exec.Cmd, exited chan struct{}) {
	// The process state contains what the error would report.
	_ = c.Wait()
	p.mu.Lock()
	p.cmd = nil
	exitExpected := p.exitExpected
	p.mu.Unlock()
	if !exitExpected || (c.ProcessState.Exited() && c.ProcessState.ExitCode() != 0) {
		p.judge.addViolation("processes", "%s exited: %s, exit requested: %t", p.host, c.ProcessState, exitExpected)
	}
	close(exited)
}

// signal sends a signal to the process if it runs and returns a channel that closes at its exit, nil if it does not run.
// exitExpected states that the signal may end the process.
func (p *process) signal(s syscall.Signal, exitExpected bool) (exited <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.exitExpected = p.exitExpected || exitExpected
	// An error means that the process has ended meanwhile, which waitForExit handles.
	_ = p.cmd.Process.Signal(s)
	return p.exited
}

// stop ends the process by SIGTERM. If it still runs after the grace period, it is killed, and that is a violation unless a process
// got no CPU time meanwhile.
func (p *process) stop() {
	startTime := time.Now()
	exited := p.signal(syscall.SIGTERM, true)
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(p.settings.GracePeriod):
		if !p.judge.starvedSince(startTime) {
			p.judge.addViolation("drain", "%s still runs %s after SIGTERM", p.host, p.settings.GracePeriod)
			p.dump()
		}
		p.kill()
	}
}

// dumpTime is the time for which a process that is to be killed may write where its goroutines wait.
const dumpTime = time.Second

// dump makes the process write the stacks of its goroutines to its log and exit.
func (p *process) dump() {
	if exited := p.signal(syscall.SIGQUIT, true); exited != nil {
		select {
		case <-exited:
		case <-time.After(dumpTime):
		}
	}
}

func (p *process) kill() {
	if exited := p.signal(syscall.SIGKILL, true); exited != nil {
		<-exited
	}
}

// signalHandlerDelay is the time after which a new process has installed its signal handlers.
const signalHandlerDelay = 500 * time.Millisecond

// sendReload notifies the process by SIGHUP that its settings have changed. Processes that have just started get no signal: before
// a program has installed its handler, the default action of SIGHUP ends the process (seen in soak runs with seeds 109 and 111).
func (p *process) sendReload() {
	p.mu.Lock()
	starting := p.cmd == nil || time.Since(p.startedAt) < signalHandlerDelay
	p.mu.Unlock()
	if !starting {
		p.signal(syscall.SIGHUP, false)
	}
}

// running returns the incarnation of the process and whether it runs.
func (p *process) running() (incarnation int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation, p.cmd != nil
}

// peakMemory returns the peak resident size of the running process in bytes, 0 if it cannot be read.
func (p *process) peakMemory() (bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			if _, err := fmt.Sscan(text, &bytes); err != nil {
				return 0
			}
			return bytes << 10
		}
	}
	return 0
}

// findCrash returns the log's text from the first panic, data race or violated invariant on, "" if there is none.
func (p *process) findCrash() (text string, err error) {
	b, err := os.ReadFile(p.file("log"))
	if errors.Is(err, os.ErrNotExist) {
		// The process was never started.
		return "", nil
	}
	if err != nil {
		return "", eris.Wrap(err, "read log of the process")
	}
	for _, marker := range []string{"DATA RACE", "panic:", "http: panic", "fatal error:", "invariant violated"} {
		if at := strings.Index(string(b), marker); at >= 0 {
			return string(b[at:min(at+2000, len(b))]), nil
		}
	}
	return "", nil
}
