package fleet

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/attempt"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
)

// stream carries the frames of one try from its agent to its entry.
type stream struct {
	fleet    *Fleet
	exchange *exchange
	agent    *agent
	agentTry *agentTry
	id       ident.TryID
	toEntry  pipe
	// closed is set when the entry closes the stream, aborted when the agent or the network aborts it, ended after the
	// last frame.
	closed  bool
	aborted bool
	ended   bool
	// delayed is a frame that the next frame overtakes.
	delayed []byte
	// partial contains the written bytes of a frame that is not complete.
	partial []byte
}

func (f *Fleet) newStream(x *exchange, a *agent, id ident.TryID) *stream {
	s := &stream{fleet: f, exchange: x, agent: a, id: id, toEntry: pipe{to: &x.entry.process}}
	f.streams = append(f.streams, s)
	return s
}

func (f *Fleet) streamsOf(a *agent) (list []*stream) {
	for _, s := range f.streams {
		if s.agent == a && !s.ended && !s.aborted {
			list = append(list, s)
		}
	}
	return list
}

func (f *Fleet) removeEndedStreams() {
	f.streams = slices.DeleteFunc(f.streams, func(s *stream) bool { return s.ended || s.aborted })
}

// Write receives the length or the content of a frame from the frame writer and sends the frame when it is complete.
func (s *stream) Write(p []byte) (n int, err error) {
	s.partial = append(s.partial, p...)
	size, prefix := binary.Uvarint(s.partial)
	if prefix <= 0 || len(s.partial) < prefix+int(size) {
		return len(p), nil
	}
	data := s.partial
	s.partial = nil
	if !s.aborted {
		s.sendFrame(data)
	}
	return len(p), nil
}

func (s *stream) sendFrame(data []byte) {
	if !s.fleet.badFrames || !s.fleet.clock.Chance(60) {
		s.deliver(data)
		return
	}
	s.fleet.faultCount++
	s.damage(data)
}

// damage drops, duplicates, delays, reorders, truncates or misdirects a frame.
func (s *stream) damage(data []byte) {
	c := s.fleet.clock
	switch c.Random().IntN(6) {
	case 0: // lost
	case 1: // duplicated
		s.deliver(data)
		s.deliver(data)
	case 2: // duplicated with a delay
		s.deliver(data)
		s.exchange.entry.runAfter(c.Between(10*time.Millisecond, 5*time.Second), func() { s.arrive(s.exchange, data) })
	case 3: // overtaken by the next frame
		s.delayed = data
	case 4: // truncated
		s.deliver(data[:len(data)/2])
	case 5: // also sent to another request
		s.deliver(data)
		if other := s.fleet.randomExchange(); other != nil {
			other.entry.runAfter(time.Millisecond, func() { s.arrive(other, data) })
		}
	}
}

func (s *stream) deliver(data []byte) {
	s.toEntry.send(s.fleet.latency(), func() { s.arrive(s.exchange, data) })
	if delayed := s.delayed; delayed != nil {
		s.delayed = nil
		s.toEntry.send(s.fleet.latency(), func() { s.arrive(s.exchange, delayed) })
	}
}

// arrive decodes a frame at an entry and posts it to an exchange as a frame of that exchange's current try.
func (s *stream) arrive(x *exchange, data []byte) {
	if s.closed && x == s.exchange && !s.fleet.clock.Chance(500) {
		return
	}
	try := ident.Try(x.attempt.Tries())
	if x == s.exchange && !s.closed {
		try = s.id.Try
	}
	f := &wire.Frame{}
	if err := protodelim.UnmarshalFrom(bytes.NewReader(data), f); err != nil {
		x.post(attempt.Event{Kind: attempt.StreamBroken, Try: try, Detail: "unreadable frame"})
		return
	}
	if s.fleet.options.Without == FrameChecks {
		f = x.rewriteFrame(f)
	}
	x.post(attempt.Event{Kind: attempt.FrameArrived, Try: try, Frame: f})
}

// end ends the stream after the last frame.
func (s *stream) end() {
	s.ended = true
	// If the last frame was delayed or lost, the entry observes a stream that ends without it.
	s.toEntry.send(s.fleet.latency(), func() {
		s.exchange.post(attempt.Event{Kind: attempt.StreamBroken, Try: s.id.Try, Detail: "stream ended"})
	})
}

// abort ends the stream before its last frame.
func (s *stream) abort(reason string) {
	if s.aborted || s.ended {
		return
	}
	s.aborted = true
	s.toEntry.send(s.fleet.latency(), func() {
		s.exchange.post(attempt.Event{Kind: attempt.StreamBroken, Try: s.id.Try, Detail: reason})
	})
	s.notifyAgent()
}

// close closes the stream at the entry.
func (s *stream) close() {
	if !s.closed {
		s.closed = true
		s.notifyAgent()
	}
}

// notifyAgent notifies the agent, after a delay, that the entry no longer receives the stream.
func (s *stream) notifyAgent() {
	s.agent.runAfter(s.fleet.clock.Between(time.Millisecond, 50*time.Millisecond), func() {
		if t := s.agentTry; t != nil && !s.ended {
			t.streamBroken = true
			s.agent.step(gate.SenderGone{ID: s.id})
		}
	})
}
