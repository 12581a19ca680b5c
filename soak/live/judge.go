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

// The bounds are those that the platform's operators state for their deployments.
const (
	// contact is the time without faults after which the bounds on time hold.
	contact = 3 * time.Second
	// drainTime is the time after which a leaving endpoint gets nothing more.
	drainTime = 2 * time.Second
	// versionTime is the time after which a declared version is the only one in use.
	versionTime = 5 * time.Second
	// configurationTime is the time after which a configuration is in force, downgradeTime that after which it stays so.
	configurationTime = 2 * time.Second
	downgradeTime     = 250 * time.Millisecond
	// lossSlack is the time in which a stopping process may close a connection whose request it has not read.
	lossSlack = 200 * time.Millisecond
	// lateSlack is the time after a request's timeout in which its answer must have come.
	lateSlack = 500 * time.Millisecond
	// abandonSlack is the time after a caller has left in which its request may still reach an endpoint, and abandonedFew the
	// number of requests that may do so later.
	abandonSlack = 500 * time.Millisecond
	abandonedFew = 3
	// recovery is the time after the last fault after which a quarter of the requests must be served.
	recovery = 12 * time.Second
	// most bounds the violations that are printed.
	most = 25
)

// kind says how often a request may run.
type kind int

const (
	once kind = iota
	repeatable
	generation
)

// call is one request of a caller.
type call struct {
	id     string
	caller string
	entry  *entry
	life   int
	kind   kind
	// version is the configuration that added the request's route, 0 for routes that are always there.
	version int64
	method  string
	target  string
	body    string
	model   string
	timeout time.Duration
	sent    time.Time
	// left is the time at which the caller closed its connection.
	left     time.Time
	refused  bool
	arrivals int
	ran      []standin.Arrival
}

func (c *call) String() string {
	runs := []string{}
	for _, a := range c.ran {
		runs = append(runs, a.Engine+" version "+a.Version)
	}
	return fmt.Sprintf("%s %s of %s by %s life %d, model %q, sent %s, arrivals %d, runs %q", c.method, c.target, c.id, c.entry.host, c.life, c.model,
		c.sent.Format("05.000"), c.arrivals, runs)
}

// answer is what a caller got: status 0 if the connection ended first.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

// declared is a value that operators have written, with the time of the store's confirmation.
type declared struct {
	value int64
	at    time.Time
}

// life is one process of an entry host.
type life struct {
	host   string
	number int
}

// arrival is a request that reached a service, a repeat if it is not the first of its request there.
type arrival struct {
	at     time.Time
	repeat bool
}

// judge checks the guarantees while the soak runs.
type judge struct {
	out io.Writer
	// events says whether faults are printed.
	events bool

	// engines holds the addresses of all engines.
	engines map[string]bool

	mu         sync.Mutex
	calls      map[string]*call
	violations int
	counts     map[string]int
	// active is the number of unplanned faults now, calm the end of the last one.
	active int
	calm   time.Time
	// starvedAt is the last time at which a process lacked a processor.
	starvedAt time.Time
	// stopping holds the times at which entry processes were told to stop.
	stopping       map[life]time.Time
	leaving        map[string]time.Time
	adapters       map[string][]declared
	configurations []declared
	// proven is the newest configuration whose effect was seen of a process.
	proven    map[life]declared
	abandoned int
	arrivals  map[string][]arrival
	requests  map[string][]time.Time
}

func newJudge(out io.Writer) *judge {
	return &judge{
		out: out, engines: make(map[string]bool), calls: make(map[string]*call), counts: make(map[string]int), stopping: make(map[life]time.Time), leaving: make(map[string]time.Time),
		adapters: make(map[string][]declared), proven: make(map[life]declared), arrivals: make(map[string][]arrival), requests: make(map[string][]time.Time),
		calm: time.Now(),
	}
}

func (j *judge) violate(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breach(rule, format, args...)
}

// breach notes a violation; the lock is held.
func (j *judge) breach(rule, format string, args ...any) {
	j.violations++
	if j.violations <= most {
		j.print("%s violation of %s: %s\n", time.Now().Format("05.000"), rule, fmt.Sprintf(format, args...))
	}
}

// print writes to the output; the lock is held.
func (j *judge) print(format string, args ...any) {
	// The output is for people; the count of violations decides.
	_, _ = fmt.Fprintf(j.out, format, args...)
}

// disturb notes that an unplanned fault begins; the caller calls the result at its end.
func (j *judge) disturb() (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.active++
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.active--
		j.calm = time.Now()
	}
}

// undisturbed reports whether there was no unplanned fault since the contact time before a moment; the lock is held.
func (j *judge) undisturbed(since time.Time) bool {
	return j.active == 0 && since.Sub(j.calm) > contact
}

// newest returns the last value that was confirmed longer ago than a bound; the lock is held.
func newest(list []declared, now time.Time, bound time.Duration) (d declared) {
	for _, x := range list {
		if now.Sub(x.at) > bound {
			d = x
		}
	}
	return d
}

// configured notes a configuration before it is written; the result notes its confirmation.
func (j *judge) configured(version int64) (confirmed func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	// Until the confirmation, its time is in the future and no bound has begun.
	at := len(j.configurations)
	j.configurations = append(j.configurations, declared{value: version, at: time.Now().Add(time.Hour)})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.configurations[at].at = time.Now()
	}
}

// note prints a fault.
func (j *judge) note(text string) {
	if j.events {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.print("%s\n", text)
	}
}

// stops notes that a process is told to stop.
func (j *judge) stops(l life) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stopping[l] = time.Now()
}

// leaves notes that an endpoint's leaving is confirmed.
func (j *judge) leaves(endpoint string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaving[endpoint] = time.Now()
}

// nextVersion returns a version that an adapter has not had; all of them begin with 1.
func (j *judge) nextVersion(adapter string) (version int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return int64(len(j.adapters[adapter])) + 2
}

// declares notes that a version of an adapter is confirmed.
func (j *judge) declares(adapter string, version int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.adapters[adapter] = append(j.adapters[adapter], declared{value: version, at: time.Now()})
}

// count returns a copy of the counts.
func (j *judge) count() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.counts)
}

func (j *judge) sent(c *call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c.sent = time.Now()
	j.calls[c.id] = c
	j.counts["requests"]++
	s := c.service()
	j.requests[s] = append(j.requests[s], c.sent)
}

func (j *judge) gone(c *call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c.left = time.Now()
	j.counts["left"]++
}

// service returns the service that the request's route names.
func (c *call) service() string {
	switch {
	case c.kind == generation:
		return "llm"
	case c.version > 0:
		return fmt.Sprint("plain-", c.version%2)
	}
	return "plain-0"
}

// arrived checks a request that has reached an endpoint.
func (j *judge) arrived(_ *endpoint, a standin.Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	c := j.calls[a.ID]
	if c == nil {
		j.breach("unasked", "no caller sent %+v", a)
		return
	}
	j.arrivals[a.Service] = append(j.arrivals[a.Service], arrival{at: now, repeat: c.arrivals > 0})
	c.arrivals++
	if a.Method != c.method || a.Target != c.target || a.Body != c.body || a.Model != c.model {
		j.breach("unasked", "%+v is not what the caller sent: %s", a, c)
	}
	if a.Source != "" && !j.engines[a.Source] {
		j.breach("unasked", "%+v names a source that is no engine: %s", a, c)
	}
	if a.Service != c.service() && a.Ran {
		j.breach("route", "%+v ran at another service: %s", a, c)
	}
	if !c.left.IsZero() && now.Sub(c.left) > abandonSlack && j.undisturbed(c.sent) {
		if j.abandoned++; j.abandoned > abandonedFew {
			j.breach("abandoned", "arrived %s after its caller left: %s", now.Sub(c.left), c)
		}
	}
	if !a.Ran {
		return
	}
	c.ran = append(c.ran, a)
	if len(c.ran) > 1 && c.kind != repeatable {
		j.breach("once", "%s", c)
	}
	if c.refused && c.kind != repeatable {
		j.breach("refusals", "runs after its refusal: %s", c)
	}
	if at, ok := j.leaving[a.Engine]; ok && now.Sub(at) > drainTime && j.undisturbed(at) {
		j.breach("drain", "runs %s after %s began to leave: %s", now.Sub(at), a.Engine, c)
	}
	if _, adapter, ok := strings.Cut(a.Model, "/"); ok && j.undisturbed(now.Add(-versionTime)) {
		if d := newest(j.adapters[adapter], now, versionTime); older(a.Version, d.value) {
			j.breach("version", "version %s runs %s after the declaration of %d: %s", a.Version, now.Sub(d.at), d.value, c)
		}
	}
	if d := newest(j.configurations, c.sent, configurationTime); c.version > 0 && c.version < d.value-1 && j.undisturbed(d.at) && j.undisturbed(c.sent) {
		j.breach("configuration", "runs on a route that version %d removed: %s", d.value, c)
	}
}

// older reports whether the version of a run is older than a declared one; 0 stands for none.
func older(version string, than int64) bool {
	n, err := strconv.ParseInt(version, 10, 64)
	return err != nil || n < than
}

// answered checks what a caller got.
func (j *judge) answered(c *call, a answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	calm := j.undisturbed(c.sent)
	switch {
	case a.status == 0 || !a.complete:
		j.counts["cut"]++
		if calm {
			j.cut(c, a, now)
		}
		j.beginning(c, a)
		return
	case a.status < 300:
		j.counts["served"]++
		if !standin.Certified(a.header, c.id) || a.body != c.expected() {
			j.breach("answers", "status %d, header %v, body %.200q: %s", a.status, a.header, a.body, c)
		}
		j.proves(c, now)
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.status == http.StatusRequestTimeout:
		j.counts["refused"]++
		c.refused = true
		if len(c.ran) > 0 && c.kind != repeatable {
			j.breach("refusals", "status %d: %s", a.status, c)
		}
		if a.header.Get("Retry-After") == "" {
			j.breach("refusals", "status %d without Retry-After: %s", a.status, c)
		}
	case a.status == http.StatusNotFound:
		j.counts["unknown route"]++
		j.unrouted(c)
	case a.status < 500:
		j.breach("denied", "status %d: %s", a.status, c)
	default:
		j.counts["failed"]++
		if calm {
			j.breach("failures", "status %d without a fault: %s", a.status, c)
		}
	}
	if calm && now.Sub(c.sent) > c.timeout+lateSlack {
		j.breach("time", "answered after %s of %s: %s", now.Sub(c.sent), c.timeout, c)
	}
}

// cut checks a connection that ended without a whole answer while there was no unplanned fault; the lock is held.
func (j *judge) cut(c *call, a answer, now time.Time) {
	// A request that crosses the close of its connection was not read. A start of the process opens its listener a moment after
	// its life begins, and the link resets what comes before (seed 105).
	if c.arrivals == 0 && a.status == 0 && now.Sub(c.sent) < lossSlack {
		return
	}
	if at, ok := j.stopping[life{c.entry.host, c.life}]; ok && len(c.ran) == 0 && a.status == 0 && c.sent.Sub(at) > contact {
		return
	}
	j.breach("lost", "no whole answer after %s, status %d, %v: %s", now.Sub(c.sent), a.status, a.err, c)
}

// beginning checks that what came of an answer that broke off is a beginning of it; the lock is held.
func (j *judge) beginning(c *call, a answer) {
	if a.status >= 200 && a.status < 300 && !strings.HasPrefix(c.expected(), a.body) {
		j.breach("answers", "%.200q is no beginning of the answer: %s", a.body, c)
	}
}

// expected is the whole body of a successful answer.
func (c *call) expected() (text string) {
	a := standin.Arrival{ID: c.id, Method: c.method, Target: c.target, Body: c.body, Model: c.model}
	if c.kind != generation {
		return standin.Answer(a)
	}
	for n := range events {
		text += standin.Event(a, n+1)
	}
	return text
}

// proves notes that the entry knows the configuration that added the request's route; the lock is held.
func (j *judge) proves(c *call, now time.Time) {
	if c.version == 0 {
		return
	}
	l := life{c.entry.host, c.life}
	if p := j.proven[l]; c.version+1 < p.value && c.sent.Sub(p.at) > downgradeTime {
		j.breach("configuration", "back before version %d, which was seen %s ago: %s", p.value, now.Sub(p.at), c)
	} else if c.version > p.value {
		j.proven[l] = declared{value: c.version, at: now}
	}
}

// unrouted checks an answer that says that there is no route; the lock is held.
func (j *judge) unrouted(c *call) {
	if c.version == 0 {
		j.breach("denied", "the route is always there: %s", c)
		return
	}
	last := j.configurations[len(j.configurations)-1].value
	if last > c.version+1 {
		return
	}
	if p := j.proven[life{c.entry.host, c.life}]; c.version <= p.value && c.sent.Sub(p.at) > downgradeTime {
		j.breach("configuration", "back before version %d: %s", p.value, c)
	}
	if d := newest(j.configurations, c.sent, configurationTime); d.value >= c.version && j.undisturbed(d.at) && j.undisturbed(c.sent) {
		j.breach("configuration", "version %d is not in force %s after its confirmation: %s", c.version, c.sent.Sub(d.at), c)
	}
}

// budget checks that repeats stayed within their share of the requests in each window.
func (j *judge) budget() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for service, list := range j.arrivals {
		repeats, first, worst := 0, 0, 0
		for _, a := range list {
			if a.repeat {
				repeats++
			}
			for ; a.at.Sub(list[first].at) > standin.RepeatWindow; first++ {
				if list[first].repeat {
					repeats--
				}
			}
			allowed := standin.RepeatExtra + standin.RepeatRatio*float64(max(
				between(j.requests[service], a.at, standin.RepeatWindow), between(j.requests[service], a.at.Add(-standin.RepeatWindow/2), standin.RepeatWindow),
				between(j.requests[service], a.at.Add(-standin.RepeatWindow), standin.RepeatWindow)))
			if float64(repeats) > allowed && repeats > worst {
				worst = repeats
				j.breach("repeats", "%d repeats at %s, %.0f allowed", repeats, service, allowed)
			}
		}
	}
}

// between counts the times within a window that ends at a moment.
func between(list []time.Time, end time.Time, window time.Duration) (n int) {
	for _, t := range list {
		if t.Before(end) && end.Sub(t) <= window {
			n++
		}
	}
	return n
}
