package fleet

import "time"

// fate is what happens to one message and its answer.
type fate int

const (
	delivered fate = iota
	// cutBefore means that no byte was sent.
	cutBefore
	// cutLate means that the connection broke and the message still arrives later.
	cutLate
	// cutVanished means that the connection broke after the send and the message never arrives.
	cutVanished
	// cutAfter means that the message arrived and its answer was lost.
	cutAfter
)

const (
	// lateBound bounds the time that a message can stay in buffers after its sender has seen the connection break. It is
	// below the gate's quarantine of 5 s, which is the time that the design allows for it.
	lateBound = 2 * time.Second
)

type callStatus int

const (
	answered callStatus = iota
	// notSent means that no byte of the call was sent.
	notSent
	// lost means that the call may have been carried out.
	lost
)

func (f *Fleet) fate() fate {
	rate := 0
	if f.options.on(CutConnections) {
		rate = 4
		if f.badNetwork {
			rate = 150
		}
	}
	if !f.clock.Chance(rate) {
		return delivered
	}
	f.faults++
	return fate(1 + f.clock.Random().IntN(4))
}

func (f *Fleet) latency() time.Duration {
	if f.badNetwork && f.clock.Chance(50) {
		return f.clock.Between(10*time.Millisecond, 800*time.Millisecond)
	}
	return f.clock.Between(200*time.Microsecond, 3*time.Millisecond)
}

// call makes a unary call; handle runs at the callee and its reply reaches done at the caller unless the call fails.
func (f *Fleet) call(from, to *process, timeout time.Duration, handle func(reply func(any)), done func(answer any, s callStatus)) {
	once := false
	finish := func(x any, s callStatus) {
		if !once {
			once = true
			done(x, s)
		}
	}
	x := f.fate()
	if to == nil || to.dead || x == cutBefore {
		from.later(f.latency(), func() { finish(nil, notSent) })
		return
	}
	from.later(timeout, func() { finish(nil, lost) })
	delay := f.latency()
	switch x {
	case cutVanished:
		from.later(f.latency(), func() { finish(nil, lost) })
		return
	case cutLate:
		from.later(f.latency(), func() { finish(nil, lost) })
		delay = f.clock.Between(0, lateBound)
	case cutAfter:
		from.later(f.clock.Between(0, timeout), func() { finish(nil, lost) })
	}
	f.clock.After(delay, func() {
		to.awake(func() {
			handle(func(answer any) {
				if x == delivered {
					from.later(f.latency(), func() { finish(answer, answered) })
				}
			})
		})
	})
}
