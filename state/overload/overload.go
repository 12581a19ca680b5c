package overload

import "time"

// Request is what counts of a request.
type Request struct {
	// Left is the time for which its caller still waits.
	Left time.Duration
	// Urgent is set if its service has less urgent kinds of request.
	Urgent bool
}

// Prospect is what the engine that suits a request best can do for it.
type Prospect struct {
	// Wait is the expected time until its first output.
	Wait time.Duration
	// Cost is Wait and what the request costs others, above all the time for which streams in progress stop while its prompt is read.
	Cost time.Duration
}

// Refuses reports whether a request is to be refused. One that its caller will not wait for runs in vain. One of the least urgent kind gives way also
// if it costs all callers together more time than its own caller is ready to wait: it would most likely be late, and make more urgent ones late.
func Refuses(r Request, p Prospect) bool {
	if r.Urgent {
		return p.Wait > r.Left
	}
	return p.Cost > r.Left
}
