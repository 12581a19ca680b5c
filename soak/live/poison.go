package live

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"shallotring.dev/platform/standin"
)

const (
	// contactTimeout is the time after the fifth crash from which requests with the part that crashes engines must not reach engines any more;
	// after twice that time the others must be served again.
	contactTimeout = 3 * time.Second
	// toleratedCrashes is the number of crashes after which the time begins, maxLatePoison that of the requests that may arrive later.
	toleratedCrashes = 5
	maxLatePoison    = 3
	// minServedShare is the least share of the other requests that are served, compared with quiet periods; both need minSample requests.
	minServedShare = 0.5
	minSample      = 20
	// poisonShare is the share of the model requests that have the part.
	poisonShare = 0.12
	// sessionCount is the number of the parts of prompts that requests with and without the poison share.
	sessionCount = 20
)

// poison is a part of prompts on which engines crash for a time, as the judge follows it.
type poison struct {
	standin.Poison
	crashes []time.Time
	late    int
	// sent and served count the other model requests since twice contactTimeout after the crashes.
	sent, served int
}

// reference returns the time of the crash from which the time limits run.
func (p *poison) reference() (at time.Time, ok bool) {
	if len(p.crashes) == 0 {
		return at, false
	}
	return p.crashes[min(len(p.crashes), toleratedCrashes)-1], true
}

// runPoisonPhase makes engines crash on a part of prompts while only planned faults occur.
func (d *deployment) runPoisonPhase(ctx context.Context, random *rand.Rand, faultSlots chan struct{}) (count int) {
	p := standin.Poison{Part: random.Uint64(), Probability: 1, Stage: standin.CrashStage(random.IntN(int(standin.CrashStages)))}
	endFault := d.judge.beginFault()
	end := d.judge.beginPoison(p)
	for _, e := range d.engines {
		e.SetPoison(p)
	}
	count = 1 + d.runPhase(ctx, random, faultSlots, time.Now().Add(4*contactTimeout+randomDuration(random, 1000, 5000)), true)
	end()
	for _, e := range d.engines {
		e.SetPoison()
	}
	// The engines that crashed last are back, so that the next phase begins with all of them.
	time.Sleep(maxPoisonRestart)
	endFault()
	return count
}

// maxPoisonRestart limits the time after which an engine that crashed on a request is back.
const maxPoisonRestart = 3 * time.Second

// crashOnPoison crashes an engine, which is back after a random time under a new id.
func (d *deployment) crashOnPoison(e *endpoint) {
	if !e.crash() {
		return
	}
	d.judge.onPoisonCrash()
	time.AfterFunc(maxPoisonRestart/3+rand.N(2*maxPoisonRestart/3), func() {
		if !d.closed.Load() {
			d.startEndpoint(e, true)
		}
	})
}

// beginPoison records that engines crash on a part from now on; the returned function records the end and checks the other requests.
func (j *judge) beginPoison(p standin.Poison) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.poison = &poison{Poison: p}
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		x := j.poison
		j.poison = nil
		j.counts["poison crashes"] += len(x.crashes)
		before := float64(j.quietServed) / float64(max(j.quietSent, 1))
		if share := float64(x.served) / float64(max(x.sent, 1)); x.sent >= minSample && j.quietSent >= minSample && share < minServedShare*before {
			j.addViolationLocked("lost", "%.2f of %d model requests are served beside a part that crashes engines, %.2f of %d in quiet periods, %d crashes",
				share, x.sent, before, j.quietSent, len(x.crashes))
		}
	}
}

// brokenOffUnnoticed reports whether the response ends after the first event, with which an engine crashed, and with its connection: nobody can
// tell such a response from a complete one.
func (c *call) brokenOffUnnoticed(a response) bool {
	return c.poison != nil && c.poison.Stage == standin.AfterEvent && a.body == standin.Event(standin.Arrival{ID: c.id, Model: c.model}, 1)
}

func (j *judge) onPoisonCrash() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.poison != nil {
		j.poison.crashes = append(j.poison.crashes, time.Now())
	}
}

// currentPoison returns the part that crashes engines now.
func (j *judge) currentPoison() (p standin.Poison, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.poison == nil {
		return p, false
	}
	return j.poison.Poison, true
}

// checkPoison checks the arrival of a model request at an engine; the caller holds the lock.
func (j *judge) checkPoison(c *call, a standin.Arrival, now time.Time) {
	if j.poison == nil || !slices.Contains(a.Parts, strconv.FormatUint(j.poison.Part, 16)) {
		return
	}
	j.counts["poison arrivals"]++
	if at, ok := j.poison.reference(); !ok || now.Sub(at) <= contactTimeout {
		return
	}
	if j.poison.late++; j.poison.late > maxLatePoison {
		j.addViolationLocked("budget", "request %d with a part that crashed %d engines has reached %s: %s", j.poison.late, len(j.poison.crashes), a.Engine, c)
	}
}

// countServed counts a finished model request for the comparison of poisoned and quiet periods; the caller holds the lock.
func (j *judge) countServed(c *call, served bool) {
	if c.kind != modelCall || c.poison != nil || len(j.limits) > 0 {
		return
	}
	if j.quietBefore(c.sentAt) {
		j.quietSent++
		if served {
			j.quietServed++
		}
		return
	}
	if j.poison == nil {
		return
	}
	if at, ok := j.poison.reference(); ok && c.sentAt.Sub(at) > 2*contactTimeout {
		j.poison.sent++
		if served {
			j.poison.served++
		}
	}
}
