package overload

import "time"

const (
	// pauseStep is the weight of one stream in the share of streams that paused for too long, which so follows the last twenty.
	pauseStep = 0.05
	// manyPauses is the share of such streams from which a delay of streams counts as much as a wait for the first output.
	manyPauses = 0.05
	// calmWeight is the weight of a delay of streams while none pauses for too long: callers accept it, but places and memory are taken for longer.
	calmWeight = 0.4
)

// Pauses measures how often streams pause for longer than their callers accept.
type Pauses struct{ share float64 }

// NewPauses returns a measurement that has seen no stream and assumes that many pause for too long: callers that come in a burst after the start of
// an entry are not to be the ones by which it learns.
func NewPauses() Pauses { return Pauses{share: manyPauses} }

// Record records the longest pause of a stream; limit is the longest one that its callers accept, 0 if that is not known.
func (p *Pauses) Record(pause, limit time.Duration) {
	if limit <= 0 {
		return
	}
	late := 0.0
	if pause > limit {
		late = 1
	}
	p.share += (late - p.share) * pauseStep
}

// Weight returns the weight of a delay of streams in progress, relative to a wait for the first output.
func (p *Pauses) Weight() float64 {
	return calmWeight + (1-calmWeight)*min(p.share/manyPauses, 1)
}
