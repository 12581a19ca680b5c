package attempt

import (
	"bytes"

	"shallotring.dev/protocol/mediatype"
	"shallotring.dev/protocol/wire"
)

// maxHeldEventBytes limits the part of one server-sent event that is held back. A longer event is delivered in chunks.
const maxHeldEventBytes = 64 << 10

var (
	eventEnd   = []byte("\n\n")
	doneMarker = []byte("[DONE]")
)

// relay decides which part of a response is delivered to the caller before its last frame has been verified.
type relay struct {
	holdBytes       int
	status          int
	contentType     string
	isEventStream   bool
	deliveryStarted bool
	doneSeen        bool
	// excess is set if more than maxHeldEventBytes follow the start of the [DONE] event.
	excess bool
	held   []byte
}

func (r *relay) setHead(f *wire.Frame) {
	if r.status != 0 || f.GetStatus() == 0 {
		return
	}
	r.status, r.contentType = int(f.GetStatus()), f.GetContentType()
	r.isEventStream = mediatype.EventStream.Of(r.contentType)
}

// addData adds the data of a frame and returns the bytes that can be delivered now.
func (r *relay) addData(f *wire.Frame) (ready []byte) {
	r.setHead(f)
	if r.isEventStream {
		return r.addEventData(f.GetData())
	}
	if r.deliveryStarted {
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
	return r.takeHeld()
}

// addEventData returns the complete events and holds back the [DONE] event, which tells the caller that the stream is
// complete.
func (r *relay) addEventData(data []byte) (ready []byte) {
	if len(r.held) > 0 {
		data = append(r.held, data...)
		r.held = nil
	}
	deliverable := 0
	if !r.doneSeen {
		deliverable = r.deliverableEventBytes(data)
	}
	if deliverable < len(data) {
		r.held = bytes.Clone(data[deliverable:])
	}
	r.excess = r.doneSeen && len(r.held) > maxHeldEventBytes
	return data[:deliverable]
}

// deliverableEventBytes returns how many bytes of the data can be delivered: the complete events before the [DONE] event, or
// everything if one event is longer than maxHeldEventBytes. It sets doneSeen if the data contains the [DONE] event.
func (r *relay) deliverableEventBytes(data []byte) int {
	wholeEvents := bytes.LastIndex(data, eventEnd)
	if wholeEvents >= 0 {
		wholeEvents += len(eventEnd)
	} else {
		wholeEvents = 0
	}
	if at, ok := findDoneEvent(data); ok {
		r.doneSeen = true
		return at
	}
	if len(data)-wholeEvents > maxHeldEventBytes {
		return len(data)
	}
	return wholeEvents
}

// findDoneEvent returns the offset of the line "data: [DONE]".
func findDoneEvent(data []byte) (start int, ok bool) {
	for from := 0; ; {
		i := bytes.Index(data[from:], doneMarker)
		if i < 0 {
			return 0, false
		}
		i += from
		line := bytes.LastIndexByte(data[:i], '\n') + 1
		if string(bytes.TrimSpace(data[line:i])) == "data:" {
			return line, true
		}
		from = i + len(doneMarker)
	}
}

// takeHeld returns the bytes that are held back and clears them.
func (r *relay) takeHeld() (data []byte) {
	data, r.held = r.held, nil
	return data
}
