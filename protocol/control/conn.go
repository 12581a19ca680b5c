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
)

const (
	// maxLine bounds one message in bytes.
	maxLine = 1 << 20
	// writeTimeout bounds the sending of one message: a peer that does not read is dropped.
	writeTimeout = time.Second
)

// Account is a message of an entry.
type Account struct {
	// Host names the entry's host; it is set in the first message.
	Host  ident.Host        `json:",omitempty"`
	Wants []holdings.Demand `json:",omitempty"`
	Uses  []holdings.Use    `json:",omitempty"`
}

// State is a message of an agent.
type State struct {
	Endpoint ident.Endpoint
	// Born is the start of the engine's life in Unix milliseconds.
	Born int64
	// Up is false if the engine does not answer its agent.
	Up       bool `json:",omitempty"`
	Leaving  bool `json:",omitempty"`
	Running  int  `json:",omitempty"`
	Queued   int  `json:",omitempty"`
	Starting int  `json:",omitempty"`
	// PromptRate is the prompt tokens a second that all entries give the engine.
	PromptRate int `json:",omitempty"`
	// Pinned is the number of places for adapters that cannot be emptied now.
	Pinned int `json:",omitempty"`
	// Entries is the number of entries that are connected to the agent.
	Entries int `json:",omitempty"`
	// Holdings is nil if it has not changed since the last message on the connection.
	Holdings *Holdings `json:",omitempty"`
}

// Holdings is what an engine holds.
type Holdings struct {
	Models   []ident.BaseModel
	Resident []ident.AdapterVersion
	Loading  []ident.AdapterVersion
}

// Equal compares two holdings; nil equals nothing.
func (h *Holdings) Equal(x *Holdings) bool {
	return h != nil && x != nil && slices.Equal(h.Models, x.Models) && slices.Equal(h.Resident, x.Resident) && slices.Equal(h.Loading, x.Loading)
}

// Conn sends and receives messages; Send may be called from any goroutine.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
	mu     sync.Mutex
}

// NewConn uses a connection.
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

// Receive reads one message and gives up after a silence.
func (c *Conn) Receive(message any, silence time.Duration) (err error) {
	defer func() { err = eris.Wrap(err, "receive control message") }()
	if err = c.conn.SetReadDeadline(time.Now().Add(silence)); err != nil {
		return err
	}
	var line []byte
	for {
		part, err := c.reader.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return json.Unmarshal(line, message)
		}
		if !eris.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if len(line) > maxLine {
			return eris.Errorf("message is longer than %d bytes", maxLine)
		}
	}
}

// Close ends the connection.
func (c *Conn) Close() { _ = c.conn.Close() }
