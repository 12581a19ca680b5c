package live

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"shallotring.dev/platform/standin"
)

// The limits are those that the platform's operators state for their deployments.
const (
	// quietPeriod is the time without unplanned faults after which the time limits hold.
	quietPeriod = 3 * time.Second
	// drainTimeout is the time after which a leaving endpoint gets no more requests.
	drainTimeout = 2 * time.Second
	// versionTimeout is the time after which a declared adapter version is the only one in use.
	versionTimeout = 5 * time.Second
	// configurationTimeout is the time after which a configuration is in force. downgradeGracePeriod is the time after its first
	// observed use in which a process may still use an older one.
	configurationTimeout = 2 * time.Second
	downgradeGracePeriod = 250 * time.Millisecond
	// lossSlack is the time within which a stopping process may close a connection whose request it has not read.
	lossSlack = 200 * time.Millisecond
	// lateSlack is the time after a request's timeout by which its response must have arrived.
	lateSlack = 500 * time.Millisecond
	// abandonSlack is the time after a caller's disconnect in which its request may still reach an endpoint. maxLateAbandoned is
	// the number of requests that may do so later.
	abandonSlack     = 500 * time.Millisecond
	maxLateAbandoned = 3
	// recoveryTimeout is the time after the last fault from which a quarter of the requests must be served.
	recoveryTimeout = 12 * time.Second
	// maxPrintedViolations limits the violations that are printed; all are counted.
	maxPrintedViolations = 25
)

// callKind states how often a request may run: a repeatable one any number of times, the others once.
type callKind int

const (
	nonRepeatableCall callKind = iota
	repeatableCall
	modelCall
)

// call is one request of a caller.
type call struct {
	id          string
	caller      string
	entry       *entry
	incarnation int
	kind        callKind
	// version is the configuration that added the request's route, 0 for routes that every configuration has.
	version int64
	method  string
	target  string
	body    string
	model   string
	timeout time.Duration
	sentAt  time.Time
	// disconnectedAt is the time at which the caller closed its connection.
	disconnectedAt time.Time
	refused        bool
	// poison is the part of the prompt, or the request, that crashes endpoints; nil if there is none.
	poison *standin.Poison
	key    key
	// middle are the parts of the prompt between the first and the last one.
	middle   []standin.Part
	arrivals int
	runs     []standin.Arrival
}

func (c *call) String() string {
	runs := []string{}
	for _, a := range c.runs {
		runs = append(runs, a.Engine+" version "+a.Version)
	}
	return fmt.Sprintf("%s %s, request %s, by %s incarnation %d, model %q, sent %s, arrivals %d, runs %q", c.method, c.target, c.id, c.entry.host, c.incarnation, c.model,
		c.sentAt.Format("05.000"), c.arrivals, runs)
}

// response is what a caller received. Its status is 0 if the connection closed first.
type response struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

// timedVersion is the version of a configuration or an adapter, with the time at which the store confirmed it or its use was
// observed.
type timedVersion struct {
	version int64
	at      time.Time
}

// processIncarnation identifies one of the successive processes of a host.
type processIncarnation struct {
	host   string
	number int
}

// arrival is the arrival of a request at a service; it is a retry if the request has arrived at an endpoint before.
type arrival struct {
	at    time.Time
	retry bool
}

// judge checks the guarantees while the soak runs.
type judge struct {
	out io.Writer
	// printEvents reports whether faults are printed.
	printEvents bool

	// engineAddresses is the set of the addresses of all engines.
	engineAddresses map[string]bool

	mu         sync.Mutex
	calls      map[string]*call
	violations int
	counts     map[string]int
	// activeFaults is the number of unplanned faults now. lastDisturbance is the time at which the last one ended or a process
	// last lacked a processor.
	activeFaults    int
	lastDisturbance time.Time
	// lastStarvation is the last time at which a process lacked a processor.
	lastStarvation time.Time
	// stopRequested holds the times of planned stops; leavingSince those at which endpoints, by id, were confirmed as leaving.
	stopRequested   map[processIncarnation]time.Time
	leavingSince    map[string]time.Time
	adapterVersions map[string][]timedVersion
	configurations  []timedVersion
	// observedConfigurations holds the newest configuration that each entry process has used for a response.
	observedConfigurations map[processIncarnation]timedVersion
	lateAbandoned          int
	arrivals               map[string][]arrival
	requestTimes           map[string][]time.Time
	// poison is the part of prompts, or the request, on which endpoints crash now. quietCounts has the requests of each kind in quiet periods.
	poison      *poison
	quietCounts [modelCall + 1]servedCount
	limitRecords
	restorations
}

func newJudge(out io.Writer) *judge {
	return &judge{
		out: out, engineAddresses: make(map[string]bool), calls: make(map[string]*call), counts: make(map[string]int),
		stopRequested: make(map[processIncarnation]time.Time), leavingSince: make(map[string]time.Time),
		adapterVersions: make(map[string][]timedVersion), observedConfigurations: make(map[processIncarnation]timedVersion),
		arrivals: make(map[string][]arrival), requestTimes: make(map[string][]time.Time),
		limitRecords: newLimitRecords(), lastDisturbance: time.Now(),
	}
}

func (j *judge) addViolation(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addViolationLocked(rule, format, args...)
}

// addViolationLocked records a violation; the caller holds the lock.
func (j *judge) addViolationLocked(rule, format string, args ...any) {
	j.violations++
	if j.violations <= maxPrintedViolations {
		j.printLocked("%s violation of %s: %s\n", time.Now().Format("05.000"), rule, fmt.Sprintf(format, args...))
	}
}

// printLocked writes to the output; the caller holds the lock.
func (j *judge) printLocked(format string, args ...any) {
	// The output is only for reading: the result of the run is the count of violations.
	_, _ = fmt.Fprintf(j.out, format, args...)
}

// beginFault records the start of an unplanned fault; the returned function records its end.
func (j *judge) beginFault() (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.activeFaults++
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.activeFaults--
		j.lastDisturbance = time.Now()
	}
}

// quietBefore reports whether no unplanned fault is active and the last disturbance ended more than quietPeriod before the given
// time; the caller holds the lock.
func (j *judge) quietBefore(at time.Time) bool {
	return j.activeFaults == 0 && at.Sub(j.lastDisturbance) > quietPeriod
}

// newestConfirmed returns the last version that was confirmed more than minAge before now; the caller holds the lock.
func newestConfirmed(list []timedVersion, now time.Time, minAge time.Duration) (d timedVersion) {
	for _, x := range list {
		if now.Sub(x.at) > minAge {
			d = x
		}
	}
	return d
}

// configurationWritten records a configuration before it is written; the returned function records its confirmation.
func (j *judge) configurationWritten(version int64) (confirmed func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	// Until the confirmation, the time lies in the future, so that no time limit applies.
	index := len(j.configurations)
	j.configurations = append(j.configurations, timedVersion{version: version, at: time.Now().Add(time.Hour)})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.configurations[index].at = time.Now()
	}
}

// printEvent prints a fault if the options request it.
func (j *judge) printEvent(text string) {
	if j.printEvents {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.printLocked("%s\n", text)
	}
}

// processStopping records the request of a planned stop of a process.
func (j *judge) processStopping(p processIncarnation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stopRequested[p] = time.Now()
}

// endpointLeaving records that the store has confirmed an endpoint as leaving.
func (j *judge) endpointLeaving(endpoint string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leavingSince[endpoint] = time.Now()
}

// nextVersion returns an unused version of an adapter or of the base model. Each starts with version 1.
func (j *judge) nextVersion(adapter string) (version int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return int64(len(j.adapterVersions[adapter])) + 2
}

// versionConfirmed records that the store has confirmed a version of an adapter or of the base model.
func (j *judge) versionConfirmed(adapter string, version int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.adapterVersions[adapter] = append(j.adapterVersions[adapter], timedVersion{version: version, at: time.Now()})
}

// copyCounts returns a copy of the counts.
func (j *judge) copyCounts() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.counts)
}

func (j *judge) callSent(c *call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c.sentAt = time.Now()
	j.calls[c.id] = c
	j.counts["requests"]++
	s := c.service()
	j.requestTimes[s] = append(j.requestTimes[s], c.sentAt)
}

func (j *judge) callDisconnected(c *call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c.disconnectedAt = time.Now()
	j.counts["left"]++
}

// onArrival checks a request that has reached an endpoint.
func (j *judge) onArrival(_ *endpoint, a standin.Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	c := j.calls[a.ID]
	if c == nil {
		j.addViolationLocked("unasked", "no caller sent %+v", a)
		return
	}
	j.arrivals[a.Service] = append(j.arrivals[a.Service], arrival{at: now, retry: c.arrivals > 0})
	c.arrivals++
	if a.Method != c.method || a.Target != c.target || a.Body != c.body || a.Model != c.model {
		j.addViolationLocked("unasked", "%+v is not what the caller sent: %s", a, c)
	}
	if a.Source != "" && !j.engineAddresses[a.Source] {
		j.addViolationLocked("unasked", "%+v names a source that is no engine: %s", a, c)
	}
	if a.Service != c.service() && a.Ran {
		j.addViolationLocked("route", "%+v ran at another service: %s", a, c)
	}
	if !c.disconnectedAt.IsZero() && now.Sub(c.disconnectedAt) > abandonSlack && j.quietBefore(c.sentAt) {
		if j.lateAbandoned++; j.lateAbandoned > maxLateAbandoned {
			j.addViolationLocked("abandoned", "arrived %s after its caller disconnected: %s", now.Sub(c.disconnectedAt), c)
		}
	}
	j.checkPoison(c, a, now)
	j.checkKey(c, a)
	j.recordLimited(c, a, now)
	if !a.Ran {
		return
	}
	c.runs = append(c.runs, a)
	j.checkPrompt(c, a)
	if len(c.runs) > 1 && c.kind != repeatableCall {
		j.addViolationLocked("once", "%s", c)
	}
	if c.refused && c.kind != repeatableCall {
		j.addViolationLocked("refusals", "request ran after its refusal: %s", c)
	}
	if at, ok := j.leavingSince[a.Engine]; ok && now.Sub(at) > drainTimeout && j.quietBefore(c.sentAt) {
		j.addViolationLocked("drain", "request ran %s after %s started leaving: %s", now.Sub(at), a.Engine, c)
	}
	if _, adapter, ok := strings.Cut(a.Model, "/"); ok && j.quietBefore(now.Add(-versionTimeout)) {
		if d := newestConfirmed(j.adapterVersions[adapter], now, versionTimeout); older(a.Version, d.version) {
			j.addViolationLocked("version", "version %s ran %s after version %d was declared: %s", a.Version, now.Sub(d.at), d.version, c)
		}
	}
	if d := newestConfirmed(j.configurations, c.sentAt, configurationTimeout); c.version > 0 && c.version < d.version-1 && j.quietBefore(d.at) && j.quietBefore(c.sentAt) {
		j.addViolationLocked("configuration", "request ran on a route that configuration %d removed: %s", d.version, c)
	}
}

// older reports whether the version of a run is older than a declared one, which is 0 if none was declared.
func older(version string, than int64) bool {
	n, err := strconv.ParseInt(version, 10, 64)
	return err != nil || n < than
}

// onResponse checks what a caller received.
func (j *judge) onResponse(c *call, a response) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	quiet := j.quietBefore(c.sentAt)
	j.recordTold(c, a, now)
	j.countServed(c, a.complete && a.status == http.StatusOK)
	switch {
	case a.status == 0 || !a.complete:
		j.counts["cut"]++
		if quiet {
			j.checkClosedConnection(c, a, now)
		}
		j.checkPrefix(c, a)
		return
	case a.status < 300:
		j.counts["served"]++
		if !standin.HasEngineHeaders(a.header, c.id) || a.body != c.expectedBody() && !c.brokenOffUnnoticed(a) {
			j.addViolationLocked("answers", "status %d, header %v, body %.200q: %s", a.status, a.header, a.body, c)
		}
		j.observeConfiguration(c, now)
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.status == http.StatusRequestTimeout:
		j.counts["refused"]++
		c.refused = true
		if len(c.runs) > 0 && c.kind != repeatableCall {
			j.addViolationLocked("refusals", "status %d: %s", a.status, c)
		}
		if a.header.Get("Retry-After") == "" {
			j.addViolationLocked("refusals", "status %d without Retry-After: %s", a.status, c)
		}
	case a.status == http.StatusNotFound:
		j.counts["unknown route"]++
		j.checkNotFound(c)
	case a.status == http.StatusUnauthorized:
		j.counts["unknown key"]++
		j.checkUnauthorized(c)
	case a.status < 500:
		j.addViolationLocked("denied", "status %d: %s", a.status, c)
	default:
		j.counts["failed"]++
		if quiet {
			j.addViolationLocked("failures", "status %d although no fault was active: %s", a.status, c)
		}
	}
	if quiet && now.Sub(c.sentAt) > c.timeout+lateSlack {
		j.addViolationLocked("time", "response arrived after %s, timeout %s: %s", now.Sub(c.sentAt), c.timeout, c)
	}
}

// checkClosedConnection checks a connection that closed without a complete response in a quiet period; the caller holds the lock.
func (j *judge) checkClosedConnection(c *call, a response, now time.Time) {
	// A process may close a connection just as a request is sent on it, so that the request is not read. A started process opens its
	// listener with a short delay, and its link resets earlier connections (seen in a
	// soak run with seed 105).
	if c.arrivals == 0 && a.status == 0 && now.Sub(c.sentAt) < lossSlack {
		return
	}
	if at, ok := j.stopRequested[processIncarnation{c.entry.host, c.incarnation}]; ok && len(c.runs) == 0 && a.status == 0 && c.sentAt.Sub(at) > quietPeriod {
		return
	}
	j.addViolationLocked("lost", "no complete response after %s, status %d, %v: %s", now.Sub(c.sentAt), a.status, a.err, c)
}

// checkPrefix checks that a truncated response is a prefix of the complete one; the caller holds the lock.
func (j *judge) checkPrefix(c *call, a response) {
	if a.status >= 200 && a.status < 300 && !strings.HasPrefix(c.expectedBody(), a.body) {
		j.addViolationLocked("answers", "%.200q is not a prefix of the expected body: %s", a.body, c)
	}
}

// expectedBody returns the complete body of a successful response.
func (c *call) expectedBody() (text string) {
	a := standin.Arrival{ID: c.id, Method: c.method, Target: c.target, Body: c.body, Model: c.model}
	if c.kind != modelCall {
		return standin.ResponseBody(a)
	}
	for n := range eventsPerStream {
		text += standin.Event(a, n+1)
	}
	return text
}

// observeConfiguration records that the entry uses the configuration that added the request's route, and checks that it has not
// returned to an older one; the caller holds the lock.
func (j *judge) observeConfiguration(c *call, now time.Time) {
	if c.version == 0 {
		return
	}
	incarnation := processIncarnation{c.entry.host, c.incarnation}
	if newest := j.observedConfigurations[incarnation]; c.version+1 < newest.version && c.sentAt.Sub(newest.at) > downgradeGracePeriod {
		j.addViolationLocked("configuration", "entry returned to a configuration before version %d, which it used %s ago: %s", newest.version, now.Sub(newest.at), c)
	} else if c.version > newest.version {
		j.observedConfigurations[incarnation] = timedVersion{version: c.version, at: now}
	}
}

// checkNotFound checks a response that reports a missing route; the caller holds the lock.
func (j *judge) checkNotFound(c *call) {
	if c.version == 0 {
		j.addViolationLocked("denied", "status 404 on a route that every configuration has: %s", c)
		return
	}
	last := j.configurations[len(j.configurations)-1].version
	if last > c.version+1 {
		return
	}
	if p := j.observedConfigurations[processIncarnation{c.entry.host, c.incarnation}]; c.version <= p.version && c.sentAt.Sub(p.at) > downgradeGracePeriod {
		j.addViolationLocked("configuration", "entry returned to a configuration before version %d: %s", p.version, c)
	}
	if d := newestConfirmed(j.configurations, c.sentAt, configurationTimeout); d.version >= c.version && j.quietBefore(d.at) && j.quietBefore(c.sentAt) {
		j.addViolationLocked("configuration", "version %d is not in force %s after its confirmation: %s", c.version, c.sentAt.Sub(d.at), c)
	}
}

// checkRetryBudget checks that retries stayed within their share of the requests in each window.
func (j *judge) checkRetryBudget() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for service, list := range j.arrivals {
		retries, first, mostRetries := 0, 0, 0
		for _, a := range list {
			if a.retry {
				retries++
			}
			for ; a.at.Sub(list[first].at) > standin.RetryWindow; first++ {
				if list[first].retry {
					retries--
				}
			}
			allowed := standin.RetryExtra + standin.RetryRatio*float64(max(
				countInWindow(j.requestTimes[service], a.at, standin.RetryWindow), countInWindow(j.requestTimes[service], a.at.Add(-standin.RetryWindow/2), standin.RetryWindow),
				countInWindow(j.requestTimes[service], a.at.Add(-standin.RetryWindow), standin.RetryWindow)))
			if float64(retries) > allowed && retries > mostRetries {
				mostRetries = retries
				j.addViolationLocked("repeats", "%d retries at service %s within the window, %.0f allowed", retries, service, allowed)
			}
		}
	}
}

// countInWindow returns the number of times within a window that ends at the given time.
func countInWindow(list []time.Time, end time.Time, window time.Duration) (n int) {
	for _, t := range list {
		if t.Before(end) && end.Sub(t) <= window {
			n++
		}
	}
	return n
}
