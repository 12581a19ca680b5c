package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"shallotring.dev/platform/standin"
)

const (
	// contactTimeout is the time after the last tolerated crash from which requests that crash engines must not reach engines any more;
	// after twice that time the others must be served again.
	contactTimeout = 3 * time.Second
	// toleratedPartCrashes and toleratedRequestCrashes are the numbers of crashes by a part of prompts and by one request after which the time
	// begins, maxLatePoison is that of the requests that may arrive later.
	toleratedPartCrashes    = 5
	toleratedRequestCrashes = 3
	maxLatePoison           = 3
	// minServedShare is the least share of the other requests that are served, compared with quiet periods; both need minSample requests.
	minServedShare = 0.5
	minSample      = 20
	// poisonShare is the share of the model requests that have the part, or of all requests that are the one that crashes engines.
	poisonShare = 0.12
	// sessionCount is the number of the parts of prompts that requests with and without the poison share.
	sessionCount = 20
)

// poison is a part of prompts, or a request, on which endpoints crash for a time, as the judge follows it.
type poison struct {
	standin.Poison
	// kind is that of the requests that have it.
	kind    callKind
	crashes []time.Time
	late    int
	// others counts the other requests of the kind since twice contactTimeout after the crashes.
	others servedCount
}

// servedCount counts requests that were sent, and those of them that were served.
type servedCount struct{ sent, served int }

func (c servedCount) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

// toleratedCrashes returns the number of crashes after which the time limits run.
func (p *poison) toleratedCrashes() int {
	if p.Target != "" {
		return toleratedRequestCrashes
	}
	return toleratedPartCrashes
}

// reference returns the time of the crash from which the time limits run.
func (p *poison) reference() (at time.Time, ok bool) {
	if len(p.crashes) == 0 {
		return at, false
	}
	return p.crashes[min(len(p.crashes), p.toleratedCrashes())-1], true
}

// runPoisonPhase makes engines crash on a part of prompts while only planned faults occur.
func (d *deployment) runPoisonPhase(ctx context.Context, random *rand.Rand, faultSlots chan struct{}) (count int) {
	p := standin.Poison{Part: random.Uint64(), Probability: 1, Stage: standin.CrashStage(random.IntN(int(standin.CrashStages)))}
	return d.runCrashes(ctx, random, faultSlots, p, modelCall)
}

// runRepeatPhase makes endpoints crash on one request, which comes again and again, while only planned faults occur.
func (d *deployment) runRepeatPhase(ctx context.Context, random *rand.Rand, faultSlots chan struct{}) (count int) {
	p := standin.Poison{Probability: 1, Stage: standin.CrashStage(random.IntN(int(standin.CrashStages)))}
	kind := callKind(random.IntN(int(modelCall) + 1))
	switch number := random.Uint64(); kind {
	case repeatableCall:
		p.Target = fmt.Sprint("/r/stock?box=", number)
	case modelCall:
		p.Target, p.Body = "/g/complete", fmt.Sprint("prompt ", number)
	default:
		p.Target, p.Body = fmt.Sprint("/o/order?n=", number), strings.Repeat("piece ", random.IntN(200))
	}
	return d.runCrashes(ctx, random, faultSlots, p, kind)
}

func (d *deployment) runCrashes(ctx context.Context, random *rand.Rand, faultSlots chan struct{}, p standin.Poison, kind callKind) (count int) {
	endFault := d.judge.beginFault()
	end := d.judge.beginPoison(p, kind)
	endpoints := append(slices.Clone(d.engines), d.plainEndpoints...)
	for _, e := range endpoints {
		e.SetPoison(p)
	}
	count = 1 + d.runPhase(ctx, random, faultSlots, time.Now().Add(4*contactTimeout+randomDuration(random, 1000, 5000)), true)
	end()
	for _, e := range endpoints {
		e.SetPoison()
	}
	// The endpoints that crashed last are back, so that the next phase begins with all of them.
	time.Sleep(maxPoisonRestart)
	endFault()
	return count
}

// addPoison makes a request the one on which endpoints crash, or gives its prompt the part.
func (c *call) addPoison(p *poison) {
	if p.Target == "" {
		if c.kind == modelCall {
			c.poison, c.middle = &p.Poison, append(c.middle, standin.Part{ID: p.Part, Tokens: 40})
		}
		return
	}
	c.poison, c.kind, c.version, c.target, c.body = &p.Poison, p.kind, 0, p.Target, p.Body
	if c.method = http.MethodPost; p.kind == repeatableCall {
		c.method = http.MethodGet
	}
	if p.kind == modelCall && c.model == "" {
		c.model, c.timeout = modelName+"/a1", 5*time.Second
	}
	if p.kind != modelCall {
		c.model, c.middle = "", nil
	}
}

// maxPoisonRestart limits the time after which an engine that crashed on a request is back.
const maxPoisonRestart = 3 * time.Second

// crashOnPoison crashes an endpoint, which refuses connections until it is back after a random time under a new id.
func (d *deployment) crashOnPoison(e *endpoint) {
	running, err := e.crashAndRefuse()
	if err != nil {
		d.judge.addViolation("soak", "%s: %v", e.name, err)
	}
	if !running {
		return
	}
	d.judge.onPoisonCrash()
	time.AfterFunc(maxPoisonRestart/3+rand.N(2*maxPoisonRestart/3), func() {
		if !d.closed.Load() {
			d.startEndpoint(e, true)
		}
	})
}

// beginPoison records that endpoints crash on requests of a kind from now on; the returned function records the end and checks the others.
func (j *judge) beginPoison(p standin.Poison, kind callKind) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.poison = &poison{Poison: p, kind: kind}
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		x := j.poison
		j.poison = nil
		j.counts["poison crashes"] += len(x.crashes)
		before := j.quietCounts[x.kind]
		if x.others.sent >= minSample && before.sent >= minSample && x.others.share() < minServedShare*before.share() {
			j.addViolationLocked("lost", "%.2f of %d requests are served beside those that crash endpoints, %.2f of %d in quiet periods, %d crashes",
				x.others.share(), x.others.sent, before.share(), before.sent, len(x.crashes))
		}
	}
}

// brokenOffUnnoticed reports whether the response ends after the first piece, with which an endpoint crashed, and with its connection: nobody can
// tell such a response from a complete one.
func (c *call) brokenOffUnnoticed(a response) bool {
	return c.poison != nil && c.poison.Stage == standin.AfterEvent && a.body == standin.FirstPiece(standin.Arrival{ID: c.id, Method: c.method, Target: c.target, Body: c.body, Model: c.model})
}

func (j *judge) onPoisonCrash() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.poison != nil {
		j.poison.crashes = append(j.poison.crashes, time.Now())
	}
}

// currentPoison returns the part or request that crashes endpoints now, nil if there is none.
func (j *judge) currentPoison() *poison {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.poison
}

// checkPoison checks the arrival of a request at an endpoint; the caller holds the lock.
func (j *judge) checkPoison(c *call, a standin.Arrival, now time.Time) {
	if j.poison == nil || !j.poison.In(a) {
		return
	}
	j.counts["poison arrivals"]++
	if at, ok := j.poison.reference(); !ok || now.Sub(at) <= contactTimeout {
		return
	}
	if j.poison.late++; j.poison.late > maxLatePoison {
		j.addViolationLocked("budget", "request %d that crashed %d endpoints, or one with such a part, has reached %s: %s", j.poison.late, len(j.poison.crashes), a.Engine, c)
	}
}

// countServed counts a finished request for the comparison of poisoned and quiet periods; the caller holds the lock.
func (j *judge) countServed(c *call, served bool) {
	if c.poison != nil || len(j.limits) > 0 {
		return
	}
	count := func(x *servedCount) {
		if x.sent++; served {
			x.served++
		}
	}
	if j.quietBefore(c.sentAt) {
		count(&j.quietCounts[c.kind])
		return
	}
	if j.poison == nil || j.poison.kind != c.kind {
		return
	}
	if at, ok := j.poison.reference(); ok && c.sentAt.Sub(at) > 2*contactTimeout {
		count(&j.poison.others)
	}
}
