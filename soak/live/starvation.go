package live

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// starvationEvery is the interval at which waits for a processor are read. A process whose threads waited that long together within it
// counts as slowed, as the platform counts a slow host, and no bound on time holds after it for the contact time.
const starvationEvery = 250 * time.Millisecond

// waited returns the time for which the threads of a process have waited for a processor; ok is false if it cannot be read.
func waited(pid int) (sum time.Duration, ok bool) {
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

// watchStarvation tells the judge when a process of the run, or the soak itself, does not get a processor.
func (d *deployment) watchStarvation(done <-chan struct{}) {
	last := make(map[int]time.Duration)
	t := time.NewTicker(starvationEvery)
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
			now, ok := waited(id)
			if before, known := last[id]; ok && known && now-before > starvationEvery {
				d.judge.starved()
			}
			last[id] = now
		}
	}
}

// starved notes that a process did not get a processor.
func (j *judge) starved() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calm = time.Now()
	j.starvedAt = j.calm
	j.counts["starved"]++
}

// starvedSince reports whether a process has lacked a processor since a moment.
func (j *judge) starvedSince(since time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starvedAt.After(since)
}
