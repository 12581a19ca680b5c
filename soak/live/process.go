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

// process is one program of the system on its host; it is started again and again with the same settings.
type process struct {
	host     string
	program  string
	settings standin.Settings
	dir      string
	judge    *judge

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	wanted bool
	life   int
	// began is the start of the running process.
	began time.Time
}

func (p *process) file(kind string) string { return filepath.Join(p.dir, p.host+"."+kind) }

// write writes the settings file; the process may read it at any time.
func (p *process) write() (err error) {
	next := p.file("next")
	if err = os.WriteFile(next, p.settings.Encode(), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	return eris.Wrap(os.Rename(next, p.file("conf")), "replace settings")
}

// start starts the program unless it runs.
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
	// The process has its own descriptor.
	defer func() { err = errors.Join(err, out.Close()) }()
	c := exec.Command(p.program, "platform")
	c.Env = append(os.Environ(), "SHALLOTRING_SETTINGS="+p.file("conf"), "GORACE=atexit_sleep_ms=0 halt_on_error=1")
	c.Stdout, c.Stderr = out, out
	// A soak that is killed leaves no processes behind.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.wanted, p.began = c, ended, false, time.Now()
	p.life++
	go p.wait(c, ended)
	return nil
}

// wait notes the end of one process; only those that were told to end may end.
func (p *process) wait(c *exec.Cmd, ended chan struct{}) {
	// The state says what the error says.
	_ = c.Wait()
	p.mu.Lock()
	p.cmd = nil
	wanted := p.wanted
	p.mu.Unlock()
	if !wanted || (c.ProcessState.Exited() && c.ProcessState.ExitCode() != 0) {
		p.judge.violate("processes", "%s ended: %s, told to end: %t", p.host, c.ProcessState, wanted)
	}
	close(ended)
}

// signal sends a signal to the process, if it runs; ending says that the process may end by it.
func (p *process) signal(s syscall.Signal, ending bool) (ended <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.wanted = p.wanted || ending
	// The process may have ended meanwhile, which wait sees.
	_ = p.cmd.Process.Signal(s)
	return p.ended
}

// stop ends the process by SIGTERM, and by SIGKILL after the grace period, which is a fault of the process.
func (p *process) stop() {
	began := time.Now()
	ended := p.signal(syscall.SIGTERM, true)
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(p.settings.Grace):
		if !p.judge.starvedSince(began) {
			p.judge.violate("drain", "%s runs on %s after SIGTERM", p.host, p.settings.Grace)
		}
		p.kill()
	}
}

func (p *process) kill() {
	if ended := p.signal(syscall.SIGKILL, true); ended != nil {
		<-ended
	}
}

// handlerTime is the time after which a new process handles its signals.
const handlerTime = 500 * time.Millisecond

// hangUp says that the settings have changed. A process that has not installed its handlers yet would end by it (seeds 109 and
// 111), as the system decides before the program's first instruction.
func (p *process) hangUp() {
	p.mu.Lock()
	young := p.cmd == nil || time.Since(p.began) < handlerTime
	p.mu.Unlock()
	if !young {
		p.signal(syscall.SIGHUP, false)
	}
}

// running returns the number of the process's life and whether it runs.
func (p *process) running() (life int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life, p.cmd != nil
}

// memory returns the largest resident size of the running process in bytes, 0 if it cannot be read.
func (p *process) memory() (bytes int64) {
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

// crashed returns what the log says of panics, data races and violated invariants.
func (p *process) crashed() (text string, err error) {
	b, err := os.ReadFile(p.file("log"))
	if errors.Is(err, os.ErrNotExist) {
		// The process was never started.
		return "", nil
	}
	if err != nil {
		return "", eris.Wrap(err, "read log")
	}
	for _, sign := range []string{"DATA RACE", "panic:", "fatal error:", "invariant violated"} {
		if at := strings.Index(string(b), sign); at >= 0 {
			return string(b[at:min(at+2000, len(b))]), nil
		}
	}
	return "", nil
}
