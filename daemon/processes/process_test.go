package processes

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// waitTimeout limits each wait for a condition. It is long because machines that run tests are often busy.
const waitTimeout = 40 * time.Second

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) (code int) {
	dir, err := os.MkdirTemp("", "processes")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	// Without atexit_sleep_ms=0 the race detector delays each exit by a second.
	os.Setenv("GORACE", "atexit_sleep_ms=0 halt_on_error=1")
	const root = "shallotring.dev/cmd/"
	c := exec.Command("go", "build", raceFlag, "-o", dir+"/", root+"agent", root+"entry", root+"shallotring", root+"standin")
	if out, err := c.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// lastPort is the port allocated last. Ports are taken from below the system's ephemeral range, so that a restarted process gets
// its port again.
var lastPort atomic.Int64

func init() { lastPort.Store(12000 + int64(os.Getpid()%9000)*2) }

// freeAddress returns a loopback address on which no process listens. It does not test this by listening itself: a process that
// is started at the same time inherits the socket until its exec, and the address would still be in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 1000 {
		a := fmt.Sprintf("127.0.0.1:%d", lastPort.Add(1))
		c, err := net.Dial("tcp", a)
		if err != nil {
			return a
		}
		c.Close()
	}
	t.Fatal("no free port among 1000 candidates")
	return ""
}

// outputBuffer collects the output of a process.
type outputBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends output.
func (b *outputBuffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *outputBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// process is one program that the test has started and ends.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	output *outputBuffer
	exited chan struct{}
}

func startProcess(t *testing.T, name, program string, args ...string) (p *process) {
	t.Helper()
	p = &process{t: t, name: name, output: &outputBuffer{}, exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(programs, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	// The process ends with the test binary, which runs no cleanup after a test timeout.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.kill()
		if text := p.output.String(); strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") || strings.Contains(text, "invariant violated") {
			t.Errorf("%s: data race, panic or violated invariant:\n%s", name, tail(text, 6000))
		} else if t.Failed() {
			t.Logf("%s, whole log in %s:\n%s", name, keepLog(t, name, text), tail(text, 1500))
		}
	})
	return p
}

// keepLog writes the log of a process of a failed test to a file that stays, and returns its path.
func keepLog(t *testing.T, name, text string) (path string) {
	path = filepath.Join(os.TempDir(), "processes-logs", strings.ReplaceAll(t.Name(), "/", "-"), name+".log")
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err.Error()
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err.Error()
	}
	return path
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("%s: %v: %v", p.name, s, err)
	}
}

// kill ends the process by SIGKILL, which also ends a process that is paused by SIGSTOP.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// waitForExit waits for the end of the process and returns its exit code.
func (p *process) waitForExit() (code int) {
	p.t.Helper()
	waitUntil(p.t, p.name+" exits", func() bool { return !p.running() })
	return p.cmd.ProcessState.ExitCode()
}

// stop ends the process by SIGTERM; any exit code but 0 is a failure.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	if code := p.waitForExit(); code != 0 {
		p.t.Errorf("%s: exit code %d after SIGTERM", p.name, code)
	}
}

// waitUntil polls a condition until it holds and fails the test after waitTimeout.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	startTime := time.Now()
	for end := startTime.Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			t.Logf("%s after %s", what, time.Since(startTime).Round(time.Millisecond))
			return
		}
	}
	t.Fatalf("condition does not hold after %s: %s", waitTimeout, what)
}

// runProgram runs a program to its end and checks its exit code; -1 allows any.
func runProgram(t *testing.T, code int, program string, args ...string) (out string) {
	t.Helper()
	c := exec.Command(filepath.Join(programs, program), args...)
	b, err := c.CombinedOutput()
	if c.ProcessState == nil || code >= 0 && c.ProcessState.ExitCode() != code {
		t.Fatalf("%s %v: %v, want exit code %d\n%s", program, args, err, code, b)
	}
	return string(b)
}
