package attempt

import (
	"bytes"
	"strings"

	"shallotring.dev/protocol/wire"
)

// eventLimit bounds what is held back of one server-sent event; a longer event is passed on in parts.
const eventLimit = 64 << 10

var (
	eventEnd = []byte("\n\n")
	lastData = []byte("[DONE]")
)

// relay decides which part of a response may go to the caller before its last frame has been verified.
type relay struct {
	holdBytes   int
	status      int
	contentType string
	events      bool
	started     bool
	closing     bool
	// excess is set when more follows the closing event than is held back.
	excess bool
	held   []byte
}

func (r *relay) head(f *wire.Frame) {
	if r.status != 0 || f.GetStatus() == 0 {
		return
	}
	r.status, r.contentType = int(f.GetStatus()), f.GetContentType()
	r.events = strings.HasPrefix(r.contentType, "text/event-stream")
}

// data returns the bytes that can be delivered now.
func (r *relay) data(f *wire.Frame) (ready []byte) {
	r.head(f)
	if r.events {
		return r.event(f.GetData())
	}
	if r.started {
		return f.GetData()
	}
	if r.held == nil {
		r.held = f.GetData()
	} else {
		r.held = append(r.held, f.GetData()...)
	}
	if len(r.held) <= r.holdBytes {
		return nil
	}
	return r.rest()
}

// event passes whole events and holds back the closing [DONE] event, which tells the caller that the stream is complete.
func (r *relay) event(data []byte) (ready []byte) {
	if len(r.held) > 0 {
		data = append(r.held, data...)
		r.held = nil
	}
	cut := 0
	if !r.closing {
		cut = r.eventCut(data)
	}
	if cut < len(data) {
		r.held = bytes.Clone(data[cut:])
	}
	r.excess = r.closing && len(r.held) > eventLimit
	return data[:cut]
}

// eventCut returns how much of the data can be delivered.
func (r *relay) eventCut(data []byte) int {
	whole := bytes.LastIndex(data, eventEnd)
	if whole >= 0 {
		whole += len(eventEnd)
	} else {
		whole = 0
	}
	if at, ok := findLast(data); ok {
		r.closing = true
		return at
	}
	if len(data)-whole > eventLimit {
		return len(data)
	}
	return whole
}

// findLast returns where the line "data: [DONE]" starts.
func findLast(data []byte) (at int, ok bool) {
	for from := 0; ; {
		i := bytes.Index(data[from:], lastData)
		if i < 0 {
			return 0, false
		}
		i += from
		line := bytes.LastIndexByte(data[:i], '\n') + 1
		if string(bytes.TrimSpace(data[line:i])) == "data:" {
			return line, true
		}
		from = i + len(lastData)
	}
}

// rest returns and forgets what is held back.
func (r *relay) rest() (data []byte) {
	data, r.held = r.held, nil
	return data
}
