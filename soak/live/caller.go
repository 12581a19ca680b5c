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
	// dialTime bounds the attempt to connect to an entry.
	dialTime = time.Second
	// patience is the time beyond a request's timeout in which its caller still reads the answer.
	patience = 1500 * time.Millisecond
	// leaveShare is the share of requests whose callers leave within leaveTime.
	leaveShare = 0.03
	leaveTime  = 80 * time.Millisecond
	// pause is the longest time between two requests of a caller.
	pause = 30 * time.Millisecond
	// adapterCount is more than all engines of a small deployment hold.
	adapterCount = 40
	events       = 8
)

// caller sends one request after the other and keeps its connection as long as the entry does.
type caller struct {
	d      *deployment
	name   string
	random *rand.Rand
	entry  *entry
	conn   net.Conn
	reader *bufio.Reader
	count  int
}

func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			time.Sleep(pause)
			continue
		}
		kept, after := c.call(c.next())
		if !kept {
			c.hangUp()
		}
		if c.random.IntN(10) == 0 {
			// Some callers do not wait as they are told.
			after = 0
		}
		time.Sleep(after + time.Duration(c.random.Int64N(int64(pause))))
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		// The connection may be gone already.
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect takes an entry that is in rotation; if none is, any.
func (c *caller) connect() bool {
	c.entry = c.d.entries[c.random.IntN(len(c.d.entries))]
	for range c.d.entries {
		if c.entry.rotation.Load() {
			break
		}
		c.entry = c.d.entries[c.random.IntN(len(c.d.entries))]
	}
	conn, err := net.DialTimeout("tcp", c.entry.url, dialTime)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// next makes up a request.
func (c *caller) next() (x *call) {
	c.count++
	x = &call{id: fmt.Sprintf("%s-%d", c.name, c.count), caller: c.name, entry: c.entry, method: http.MethodPost, timeout: 2 * time.Second}
	x.life, _ = c.entry.running()
	x.body = strings.Repeat("piece ", c.random.IntN(200))
	switch n := c.random.IntN(10); {
	case n < 5:
		// Low numbers are asked for more often.
		x.kind, x.target, x.timeout = generation, "/g/complete", 5*time.Second
		x.model = fmt.Sprintf("%s/a%d", modelName, 1+min(c.random.IntN(adapterCount), c.random.IntN(adapterCount)))
	case n < 7:
		x.target = "/o/order?n=1"
	case n < 9:
		x.kind, x.method, x.target, x.body = repeatable, http.MethodGet, "/r/stock", ""
	default:
		x.version = max(1, c.d.version.Load()-c.random.Int64N(4))
		x.target = fmt.Sprintf("/v%d/order", x.version)
	}
	return x
}

// call sends a request and reads its answer; kept says whether the connection can be used again, after when the caller may return.
func (c *caller) call(x *call) (kept bool, after time.Duration) {
	j := c.d.judge
	j.sent(x)
	request := standin.Call{
		ID: x.id, Method: x.method, Target: x.target, Host: hostName, Body: x.body, Chunked: c.random.IntN(4) == 0, Timeout: x.timeout, Model: x.model,
		Shared: standin.Part{ID: uint64(len(x.model)), Tokens: 1200}, Own: standin.Part{ID: uint64(c.count), Tokens: 400}, Output: 80,
	}
	if c.random.IntN(8) == 0 {
		request.Source = "192.0.2.1:1"
	}
	if c.random.Float64() < leaveShare {
		conn := c.conn
		leave := time.AfterFunc(time.Duration(c.random.Int64N(int64(leaveTime))), func() {
			j.gone(x)
			_ = conn.Close()
		})
		defer leave.Stop()
	}
	a := c.exchange(request.Encode(), x)
	if j.hasLeft(x) {
		return false, 0
	}
	j.answered(x, a)
	if seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
		after = min(time.Duration(seconds*float64(time.Second)), patience)
	}
	return a.complete && !strings.EqualFold(a.header.Get("Connection"), "close"), after
}

func (c *caller) exchange(text string, x *call) (a answer) {
	if a.err = c.conn.SetDeadline(time.Now().Add(x.timeout + patience)); a.err != nil {
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

// hasLeft reports whether the caller has left before its answer.
func (j *judge) hasLeft(c *call) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !c.left.IsZero()
}
