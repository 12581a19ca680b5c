package live

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// starvationInterval is the interval at which the soak reads how long threads have waited for a processor. If the threads of a
// process together waited longer than the interval itself, the process lacked a processor. The platform regards such a host as
// slow; time limits do not apply until quietPeriod has passed.
const starvationInterval = 250 * time.Millisecond

// processorWait returns the total time for which the threads of a process have waited for a processor; ok is false if it cannot
// be read.
func processorWait(pid int) (sum time.Duration, ok bool) {
	list, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, false
	}
	for _, name := range list {
		b, err := os.ReadFile(name)
		if err != nil {
			// The thread has ended.
			continue
		}
		var running, waiting int64
		if _, err = fmt.Sscan(string(b), &running, &waiting); err == nil {
			sum += time.Duration(waiting)
			ok = true
		}
	}
	return sum, ok
}

// pid returns the id of the running process, 0 if there is none.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// watchStarvation notifies the judge when a process of the run, or the soak itself, lacks a processor.
func (d *deployment) watchStarvation(done <-chan struct{}) {
	last := make(map[int]time.Duration)
	t := time.NewTicker(starvationInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
		}
		ids := map[int]bool{os.Getpid(): true}
		for _, e := range d.entries {
			ids[e.pid()] = true
		}
		for _, e := range d.engines {
			ids[e.agent.pid()] = true
		}
		delete(ids, 0)
		for id := range ids {
			now, ok := processorWait(id)
			if before, known := last[id]; ok && known && now-before > starvationInterval {
				d.judge.recordStarvation()
			}
			last[id] = now
		}
	}
}

// recordStarvation records that a process lacked a processor.
func (j *judge) recordStarvation() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastDisturbance = time.Now()
	j.lastStarvation = j.lastDisturbance
	j.counts["starved"]++
}

// starvedSince reports whether a process has lacked a processor since the given time.
func (j *judge) starvedSince(since time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastStarvation.After(since)
}
