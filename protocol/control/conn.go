package control

import (
	"bufio"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/holdings"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/sendlimit"
)

const (
	// maxMessageBytes limits the size of one message.
	maxMessageBytes = 1 << 20
	// writeTimeout limits the time for writing one message, so that a peer that does not read is disconnected.
	writeTimeout = time.Second
)

// UsageReport is the message of an entry to an agent: a usage report and the adapters that the entry needs loaded.
type UsageReport struct {
	// Host is the entry's host; it is set in the first message on a connection.
	Host ident.Host `json:",omitempty"`
	// Deltas is set in the first message if the entry understands states that omit what is unchanged.
	Deltas bool `json:",omitempty"`
	// Born is the start time of the engine's incarnation that the report is about, as in State. It is set if it differs from that of the
	// previous message on the connection; entries of earlier releases do not send it.
	Born int64 `json:",omitempty"`
	// Wants are the adapters for which the entry has waiting requests; Uses report the requests that it sent to the engine.
	Wants []holdings.Demand `json:",omitempty"`
	Uses  []holdings.Use    `json:",omitempty"`
	// Unread is the number of prompt tokens that the entry has assigned to the engine and that the engine has not read yet; entries of earlier
	// releases do not send it.
	Unread ident.Tokens `json:",omitempty"`
	// Interrupted reports requests that the engine broke off; entries of earlier releases do not send it.
	Interrupted *Interruption `json:",omitempty"`
	// Observed reports a limit of an endpoint, and Send asks for a send to one; entries of earlier releases send neither.
	Observed *LimitObservation `json:",omitempty"`
	Send     *SendRequest      `json:",omitempty"`
	// Usage asks for usage of a tenant; entries of earlier releases do not send it.
	Usage *UsageRequest `json:",omitempty"`
	// Evidence is passed on to the other entries; entries of earlier releases do not send it. TakesEvidence is set in the first message of an
	// entry that can read that of others: to another one, a message with it would be a state.
	Evidence      *Evidence `json:",omitempty"`
	TakesEvidence bool      `json:",omitempty"`
}

// State is the message of an agent to an entry: the state of its engine. StateWriter and StateReader omit and restore what is unchanged.
type State struct {
	Endpoint ident.Endpoint `json:",omitempty"`
	// Born is the start time of the engine's incarnation in Unix milliseconds.
	Born int64 `json:",omitempty"`
	// Up is false if the engine does not respond to its agent.
	Up bool `json:",omitempty"`
	// Stale is set if the agent has not read the engine's report for a while, since the engine wants no calls; the rest is as of then.
	Stale    bool `json:",omitempty"`
	Leaving  bool `json:",omitempty"`
	Running  int  `json:",omitempty"`
	Queued   int  `json:",omitempty"`
	Starting int  `json:",omitempty"`
	// PromptRate is the number of prompt tokens per second that all entries together send to the engine.
	PromptRate int `json:",omitempty"`
	// Unread is the sum of what the entries have reported as Unread. CountsUnread is set if the agent sums it; agents of earlier releases do not.
	Unread       ident.Tokens `json:",omitempty"`
	CountsUnread bool         `json:",omitempty"`
	// Pinned is the number of adapter slots that are not to be had now: their adapters are in use, or they are for adapters that requests wait for.
	Pinned int `json:",omitempty"`
	// Entries is the number of entries that are connected to the agent.
	Entries int `json:",omitempty"`
	// SharesLimits is set if the agent answers a SendRequest; agents of earlier releases do not. Limit is the limit of its engine.
	SharesLimits bool            `json:",omitempty"`
	Limit        sendlimit.Limit `json:",omitzero"`
	// SharesUsage is set if the agent answers a UsageRequest; agents of earlier releases do not.
	SharesUsage bool `json:",omitempty"`
	// RelaysEvidence is set if the agent passes on the Evidence of entries; agents of earlier releases do not.
	RelaysEvidence bool `json:",omitempty"`
	// Same is set in a message that describes the same state as the previous one, but for the prompt rate if the message has one.
	Same bool `json:",omitempty"`
	// Holdings is nil in a message if it is unchanged since the previous one or described by Changes.
	Holdings *Holdings `json:",omitempty"`
	Changes  *Changes  `json:",omitempty"`
	// Crashes are the last crashes of the engine; a message has those that are new, or of which more is known, on its connection.
	Crashes *Crashes `json:",omitempty"`
	// Grant is the response to a SendRequest; a message with it has nothing else.
	Grant *SendGrant `json:",omitempty"`
	// Usage is the response to a UsageRequest; a message with it has nothing else.
	Usage *UsageGrant `json:",omitempty"`
	// Evidence is that of another entry; a message with it has nothing else.
	Evidence *Evidence `json:",omitempty"`
}

// Holdings are the models and adapters that an engine has loaded or is loading.
type Holdings struct {
	Models []ident.BaseModel
	// Versions are the versions of the models' weights, in the order of Models; agents of earlier releases do not send them.
	Versions []ident.Version `json:",omitempty"`
	Resident []ident.AdapterVersion
	Loading  []ident.AdapterVersion
}

// NewHoldings returns the holdings of an engine.
func NewHoldings(models []ident.ModelVersion, resident, loading []ident.AdapterVersion) *Holdings {
	h := &Holdings{Resident: resident, Loading: loading}
	for _, m := range models {
		h.Models, h.Versions = append(h.Models, m.Model), append(h.Versions, m.Version)
	}
	return h
}

// BaseModel returns the base model that the engine serves; it is zero if none is loaded.
func (h *Holdings) BaseModel() (m ident.ModelVersion) {
	if len(h.Models) > 0 {
		m.Model = h.Models[0]
	}
	if len(h.Versions) > 0 {
		m.Version = h.Versions[0]
	}
	return m
}

// equalModels reports whether two holdings have the same versions of the same models.
func (h *Holdings) equalModels(x *Holdings) bool {
	return slices.Equal(h.Models, x.Models) && slices.Equal(h.Versions, x.Versions)
}

// Equal reports whether two holdings are equal; nil is not equal to anything.
func (h *Holdings) Equal(x *Holdings) bool {
	return h != nil && x != nil && h.equalModels(x) && slices.Equal(h.Resident, x.Resident) && slices.Equal(h.Loading, x.Loading)
}

// Conn sends and receives messages; Send may be called from any goroutine.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
	mu     sync.Mutex
}

// NewConn returns a Conn over a network connection.
func NewConn(c net.Conn) *Conn { return &Conn{conn: c, reader: bufio.NewReader(c)} }

// Send writes one message.
func (c *Conn) Send(message any) (err error) {
	defer func() { err = eris.Wrap(err, "send control message") }()
	b, err := json.Marshal(message)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = c.conn.Write(append(b, '\n'))
	return err
}

// Receive reads one message; it fails if the message does not arrive within the timeout.
func (c *Conn) Receive(message any, timeout time.Duration) (err error) {
	defer func() { err = eris.Wrap(err, "receive control message") }()
	if err = c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	var line []byte
	for {
		chunk, err := c.reader.ReadSlice('\n')
		line = append(line, chunk...)
		if err == nil {
			return json.Unmarshal(line, message)
		}
		if !eris.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if len(line) > maxMessageBytes {
			return eris.Errorf("message is longer than %d bytes", maxMessageBytes)
		}
	}
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }
