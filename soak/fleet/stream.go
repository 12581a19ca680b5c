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
	job      *job
	id       ident.TryID
	out      pipe
	// closed is set by the entry, broken by the agent's side or the network, ended after the last frame.
	closed bool
	broken bool
	ended  bool
	held   []byte
	// partial holds what was written of a frame that is not complete.
	partial []byte
}

func (f *Fleet) newStream(x *exchange, a *agent, id ident.TryID) *stream {
	s := &stream{fleet: f, exchange: x, agent: a, id: id, out: pipe{to: &x.entry.process}}
	f.streams = append(f.streams, s)
	return s
}

func (f *Fleet) streamsOf(a *agent) (list []*stream) {
	for _, s := range f.streams {
		if s.agent == a && !s.ended && !s.broken {
			list = append(list, s)
		}
	}
	return list
}

func (f *Fleet) sweepStreams() {
	f.streams = slices.DeleteFunc(f.streams, func(s *stream) bool { return s.ended || s.broken })
}

// Write takes the length or the content of a frame from the frame writer.
func (s *stream) Write(p []byte) (n int, err error) {
	s.partial = append(s.partial, p...)
	size, prefix := binary.Uvarint(s.partial)
	if prefix <= 0 || len(s.partial) < prefix+int(size) {
		return len(p), nil
	}
	data := s.partial
	s.partial = nil
	if !s.broken {
		s.pass(data)
	}
	return len(p), nil
}

func (s *stream) pass(data []byte) {
	if !s.fleet.badFrames || !s.fleet.clock.Chance(60) {
		s.deliver(data)
		return
	}
	s.fleet.faults++
	s.damage(data)
}

// damage loses, repeats, delays, reorders, cuts or misdirects a frame.
func (s *stream) damage(data []byte) {
	c := s.fleet.clock
	switch c.Random().IntN(6) {
	case 0: // lost
	case 1: // repeated
		s.deliver(data)
		s.deliver(data)
	case 2: // repeated late
		s.deliver(data)
		s.exchange.entry.later(c.Between(10*time.Millisecond, 5*time.Second), func() { s.arrive(s.exchange, data) })
	case 3: // overtaken by the next frame
		s.held = data
	case 4: // cut short
		s.deliver(data[:len(data)/2])
	case 5: // sent to another request as well
		s.deliver(data)
		if other := s.fleet.anyExchange(); other != nil {
			other.entry.later(time.Millisecond, func() { s.arrive(other, data) })
		}
	}
}

func (s *stream) deliver(data []byte) {
	s.out.send(s.fleet.latency(), func() { s.arrive(s.exchange, data) })
	if held := s.held; held != nil {
		s.held = nil
		s.out.send(s.fleet.latency(), func() { s.arrive(s.exchange, held) })
	}
}

// arrive decodes a frame at an entry; a request takes it for one of its current try.
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
		f = x.restamp(f)
	}
	x.post(attempt.Event{Kind: attempt.FrameArrived, Try: try, Frame: f})
}

// end follows the last frame.
func (s *stream) end() {
	s.ended = true
	// A frame that was overtaken or lost leaves the entry with a stream that ends too early.
	s.out.send(s.fleet.latency(), func() {
		s.exchange.post(attempt.Event{Kind: attempt.StreamBroken, Try: s.id.Try, Detail: "stream ended"})
	})
}

// breakOff ends the stream before its last frame.
func (s *stream) breakOff(reason string) {
	if s.broken || s.ended {
		return
	}
	s.broken = true
	s.out.send(s.fleet.latency(), func() {
		s.exchange.post(attempt.Event{Kind: attempt.StreamBroken, Try: s.id.Try, Detail: reason})
	})
	s.disconnect()
}

// close ends the stream from the side of the entry.
func (s *stream) close() {
	if !s.closed {
		s.closed = true
		s.disconnect()
	}
}

// disconnect lets the agent notice that the receiver has gone.
func (s *stream) disconnect() {
	s.agent.later(s.fleet.clock.Between(time.Millisecond, 50*time.Millisecond), func() {
		if j := s.job; j != nil && !s.ended {
			j.broken = true
			s.agent.step(gate.SenderGone{ID: s.id})
		}
	})
}
