package fleet

import "time"

// deliveryResult is what happens to one message and its response.
type deliveryResult int

const (
	delivered deliveryResult = iota
	// cutBeforeSend means that no byte was sent.
	cutBeforeSend
	// cutThenDelivered means that the connection failed and the message still arrives later.
	cutThenDelivered
	// cutAndLost means that the connection failed after the send and the message never arrives.
	cutAndLost
	// cutResponse means that the message arrived and its response was lost.
	cutResponse
)

const (
	// maxLateDelivery is the maximum time for which a message stays in buffers after its sender has noticed that the
	// connection failed. It is below the gate's QuarantineDuration of 5 s, which allows for such messages.
	maxLateDelivery = 2 * time.Second
)

type callStatus int

const (
	callAnswered callStatus = iota
	// callNotSent means that no byte of the call was sent.
	callNotSent
	// callLost means that there was no response; the call may have taken effect.
	callLost
)

func (f *Fleet) randomDelivery() deliveryResult {
	rate := 0
	if f.options.enabled(CutConnections) {
		rate = 4
		if f.badNetwork {
			rate = 150
		}
	}
	if !f.clock.Chance(rate) {
		return delivered
	}
	f.faultCount++
	return deliveryResult(1 + f.clock.Random().IntN(4))
}

func (f *Fleet) latency() time.Duration {
	if f.badNetwork && f.clock.Chance(50) {
		return f.clock.Between(10*time.Millisecond, 800*time.Millisecond)
	}
	return f.clock.Between(200*time.Microsecond, 3*time.Millisecond)
}

// call makes a unary call: handle runs at the process to, and done gets the response or the failure at the process from.
func (f *Fleet) call(from, to *process, timeout time.Duration, handle func(reply func(any)), done func(response any, s callStatus)) {
	finished := false
	finish := func(result any, s callStatus) {
		if !finished {
			finished = true
			done(result, s)
		}
	}
	result := f.randomDelivery()
	if to == nil || to.exited || result == cutBeforeSend {
		from.runAfter(f.latency(), func() { finish(nil, callNotSent) })
		return
	}
	from.runAfter(timeout, func() { finish(nil, callLost) })
	delay := f.latency()
	switch result {
	case cutAndLost:
		from.runAfter(f.latency(), func() { finish(nil, callLost) })
		return
	case cutThenDelivered:
		from.runAfter(f.latency(), func() { finish(nil, callLost) })
		delay = f.clock.Between(0, maxLateDelivery)
	case cutResponse:
		from.runAfter(f.clock.Between(0, timeout), func() { finish(nil, callLost) })
	}
	f.clock.After(delay, func() {
		to.runUnpaused(func() {
			handle(func(response any) {
				if result == delivered {
					from.runAfter(f.latency(), func() { finish(response, callAnswered) })
				}
			})
		})
	})
}
