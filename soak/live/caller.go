package live

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"shallotring.dev/platform/standin"
)

const (
	// dialTimeout is the timeout of connecting to an entry.
	dialTimeout = time.Second
	// readGracePeriod is the time beyond a request's timeout during which its caller still reads the response. It is also the
	// longest time for which a caller waits because of Retry-After.
	readGracePeriod = 1500 * time.Millisecond
	// disconnectShare is the share of requests whose callers disconnect, after at most maxDisconnectDelay.
	disconnectShare    = 0.03
	maxDisconnectDelay = 80 * time.Millisecond
	// maxRequestPause limits the random pause between two requests of a caller.
	maxRequestPause = 30 * time.Millisecond
	// adapterCount exceeds the adapter slots of all engines of a small deployment.
	adapterCount = 40
	// popularCount is the number of adapters that are requested so often that several engines hold them at the same time.
	popularCount    = 2
	eventsPerStream = 8
)

// caller sends one request after another and reuses its connection until the entry closes it.
type caller struct {
	deployment *deployment
	name       string
	random     *rand.Rand
	entry      *entry
	conn       net.Conn
	reader     *bufio.Reader
	count      int
	// keys chooses the keys of requests.
	keys *rand.Rand
}

func (c *caller) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			time.Sleep(maxRequestPause)
			continue
		}
		reusable, retryAfter := c.send(c.nextCall())
		if !reusable {
			c.disconnect()
		}
		if c.random.IntN(10) == 0 {
			// Some callers ignore Retry-After.
			retryAfter = 0
		}
		time.Sleep(retryAfter + time.Duration(c.random.Int64N(int64(maxRequestPause))))
	}
}

func (c *caller) disconnect() {
	if c.conn != nil {
		// The connection may be closed already.
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect connects to a random entry that is in rotation; if it finds none, to any entry.
func (c *caller) connect() bool {
	c.entry = c.deployment.entries[c.random.IntN(len(c.deployment.entries))]
	for range c.deployment.entries {
		if c.entry.inRotation.Load() {
			break
		}
		c.entry = c.deployment.entries[c.random.IntN(len(c.deployment.entries))]
	}
	conn, err := net.DialTimeout("tcp", c.entry.frontAddress, dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// nextCall returns a random request.
func (c *caller) nextCall() (x *call) {
	c.count++
	x = &call{id: fmt.Sprintf("%s-%d", c.name, c.count), caller: c.name, entry: c.entry, method: http.MethodPost, timeout: 2 * time.Second}
	x.incarnation, _ = c.entry.running()
	x.body = strings.Repeat("piece ", c.random.IntN(200))
	switch n := c.random.IntN(10); {
	case n < 5:
		// Adapters with low numbers are requested more often, and two by more than half of the calls.
		x.kind, x.target, x.timeout = modelCall, "/g/complete", 5*time.Second
		adapter := 1 + min(c.random.IntN(adapterCount), c.random.IntN(adapterCount))
		if n < 3 {
			adapter = 1 + c.random.IntN(popularCount)
		}
		x.model = fmt.Sprintf("%s/a%d", modelName, adapter)
		x.middle = []standin.Part{{ID: firstSession + c.random.Uint64N(sessionCount), Tokens: 40}}
	case n < 7:
		x.target = "/o/order?n=1"
	case n < 9:
		x.kind, x.method, x.target, x.body = repeatableCall, http.MethodGet, "/r/stock", ""
	default:
		x.version = max(1, c.deployment.configurationVersion.Load()-c.random.Int64N(4))
		x.target = fmt.Sprintf("/v%d/order", x.version)
	}
	if x.version > 0 {
		x.key = randomKey(c.keys, c.deployment.configurationVersion.Load())
	}
	if p := c.deployment.judge.currentPoison(); p != nil && c.random.Float64() < poisonShare {
		x.addPoison(p)
		x.key = lastingKey // equal requests have equal tenants
	}
	return x
}

// service returns the service of the request's route.
func (c *call) service() string {
	switch {
	case c.kind == modelCall:
		return "llm"
	case c.version > 0:
		return fmt.Sprint("plain-", c.version%2)
	}
	return "plain-0"
}

// send sends a request and reads its response. reusable reports whether the connection can be used again; retryAfter is the time
// to wait before the next request.
func (c *caller) send(x *call) (reusable bool, retryAfter time.Duration) {
	j := c.deployment.judge
	j.callSent(x)
	request := standin.Call{
		ID: x.id, Method: x.method, Target: x.target, Host: hostName, Body: x.body, Chunked: c.random.IntN(4) == 0, Timeout: x.timeout, Model: x.model,
		Shared: standin.Part{ID: sharedPart, Tokens: 1200}, Own: standin.Part{ID: partID(x.id), Tokens: 400}, MaxOutputTokens: 80, Middle: x.middle,
		Key: x.key.String(),
	}
	if c.keys.IntN(8) == 0 {
		request.Tenant = "forged"
	}
	if c.random.IntN(8) == 0 {
		request.Source = "192.0.2.1:1"
	}
	if c.random.Float64() < disconnectShare {
		conn := c.conn
		disconnect := time.AfterFunc(time.Duration(c.random.Int64N(int64(maxDisconnectDelay))), func() {
			j.callDisconnected(x)
			_ = conn.Close()
		})
		defer disconnect.Stop()
	}
	a := c.exchange(request.Encode(), x)
	if j.disconnected(x) {
		return false, 0
	}
	j.onResponse(x, a)
	if seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
		retryAfter = min(time.Duration(seconds*float64(time.Second)), readGracePeriod)
	}
	return a.complete && !strings.EqualFold(a.header.Get("Connection"), "close"), retryAfter
}

func (c *caller) exchange(text string, x *call) (a response) {
	if a.err = c.conn.SetDeadline(time.Now().Add(x.timeout + readGracePeriod)); a.err != nil {
		return a
	}
	if _, a.err = io.WriteString(c.conn, text); a.err != nil {
		return a
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: x.method})
	if err != nil {
		a.err = err
		return a
	}
	defer r.Body.Close()
	a.status, a.header = r.StatusCode, r.Header
	if r.Close {
		a.header.Set("Connection", "close")
	}
	b, err := io.ReadAll(r.Body)
	a.body, a.err, a.complete = string(b), err, err == nil
	return a
}

// disconnected reports whether the caller has disconnected before its response.
func (j *judge) disconnected(c *call) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !c.disconnectedAt.IsZero()
}
