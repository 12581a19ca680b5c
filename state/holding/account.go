package holding

import "time"

const (
	// freeShare is the part of the memory without a caller's own that the caller may hold: each new holder leaves as much free again, so
	// that holders of any number and size leave room for a small request.
	freeShare = 0.5
	// progressBytes is the number of bytes that a caller has to move to count as moving, so that single bytes now and then do not.
	progressBytes = 4 << 10
	// readerStall is the time without progress after which the caller of an answer counts as not reading it. A write to a caller that reads takes
	// less, also if it waits for a packet that is sent once more.
	readerStall = 250 * time.Millisecond
	// newcomerTime is the time without progress for which a connection is not closed for another one, since the head of a new one may not have
	// been read yet.
	newcomerTime = 100 * time.Millisecond
)

// ID identifies a holder, which is the connection of a caller; no holder has the id 0.
type ID uint64

// Phase is what the holder does.
type Phase int

// The phases. A holder does not give way while it is Running, since an endpoint may have begun its request, or Sending to a caller that reads.
const (
	// Idle is a connection without a request.
	Idle Phase = iota
	// Head is a connection with a part of a head.
	Head
	// Receiving is a request whose body is being read.
	Receiving
	// Running is a request with an endpoint, or on its way to one.
	Running
	// Sending is a request whose answer waits for the caller to read it.
	Sending
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"idle", "head", "receiving", "running", "sending"}[p]
}

// Limits bound what all holders have together; 0 means no limit.
type Limits struct {
	Bytes   int64
	Holders int
}

// Victim is a holder that gives way: it is not in the account any more.
type Victim struct {
	ID    ID
	Phase Phase
	Bytes int64
	// Stalled is the time since it last moved.
	Stalled time.Duration
}

type holder struct {
	phase Phase
	bytes int64
	// moved counts the bytes since movedAt, the last time at which the holder counted as moving.
	moved   int64
	movedAt time.Time
}

// revocable reports whether the holder may have to give way.
func (h *holder) revocable(now time.Time) bool {
	return h.phase != Running && (h.phase != Sending || h.stalled(now) >= readerStall)
}

// stalled returns the time since the holder last moved.
func (h *holder) stalled(now time.Time) time.Duration { return now.Sub(h.movedAt) }

// Account is the memory that a process holds for its callers. It is not safe for concurrent use.
type Account struct {
	limits  Limits
	used    int64
	last    ID
	holders map[ID]*holder
}

// New returns an account without holders.
func New(l Limits) *Account { return &Account{limits: l, holders: make(map[ID]*holder)} }

// Limits returns the limits.
func (a *Account) Limits() Limits { return a.limits }

// Used returns the bytes that all holders have.
func (a *Account) Used() int64 { return a.used }

// Holders returns the number of holders.
func (a *Account) Holders() int { return len(a.holders) }

// Open adds an idle holder with some bytes; ok is false if it finds no room, although the victims have given way.
func (a *Account) Open(now time.Time, bytes int64) (id ID, victims []Victim, ok bool) {
	for a.limits.Holders > 0 && len(a.holders) >= a.limits.Holders {
		v, found := a.findVictim(now, 0, longestStalled)
		if !found || a.holders[v].stalled(now) < newcomerTime {
			return 0, victims, false
		}
		victims = append(victims, a.revoke(now, v))
	}
	a.last++
	id = a.last
	a.holders[id] = &holder{movedAt: now}
	more, ok := a.Grow(now, id, bytes)
	victims = append(victims, more...)
	if !ok {
		a.Close(id)
		return 0, victims, false
	}
	return id, victims, true
}

// Grow adds bytes to a holder if they fit in its share once the victims have given way. If they do not, the holder keeps what it has; a holder
// that has given way gets nothing.
func (a *Account) Grow(now time.Time, id ID, bytes int64) (victims []Victim, ok bool) {
	h := a.holders[id]
	if h == nil {
		return nil, false
	}
	if !a.fits(h, bytes) && !a.mayFit(now, id, bytes) {
		return nil, false
	}
	for !a.fits(h, bytes) {
		v, found := a.findVictim(now, id, mostHeld)
		if !found || mostHeld(now, a.holders[v]) <= mostHeld(now, h) {
			return victims, false
		}
		victims = append(victims, a.revoke(now, v))
	}
	h.bytes += bytes
	a.used += bytes
	return victims, true
}

// fits reports whether a holder may have some more bytes.
func (a *Account) fits(h *holder, bytes int64) bool {
	return a.fitsBeside(a.used-h.bytes, h.bytes+bytes)
}

// fitsBeside reports whether a holder may have some bytes if the others have used ones.
func (a *Account) fitsBeside(used, bytes int64) bool {
	return a.limits.Bytes <= 0 || float64(bytes) <= freeShare*float64(a.limits.Bytes-used)
}

// mayFit reports whether a holder may have some more bytes once all that may give way to it have done so.
func (a *Account) mayFit(now time.Time, id ID, bytes int64) bool {
	h := a.holders[id]
	used, rank := a.used-h.bytes, mostHeld(now, h)
	for x, other := range a.holders {
		if x != id && other.revocable(now) && mostHeld(now, other) > rank {
			used -= other.bytes
		}
	}
	return a.fitsBeside(used, h.bytes+bytes)
}

// Shrink takes bytes from a holder.
func (a *Account) Shrink(id ID, bytes int64) {
	if h := a.holders[id]; h != nil {
		h.bytes -= bytes
		a.used -= bytes
	}
}

// Move records bytes that a caller has sent or read.
func (a *Account) Move(now time.Time, id ID, bytes int64) {
	h := a.holders[id]
	if h == nil {
		return
	}
	if h.moved += bytes; h.moved >= progressBytes {
		h.moved, h.movedAt = 0, now
	}
}

// Enter begins a phase, which counts as moving. It returns false if the holder has given way.
func (a *Account) Enter(now time.Time, id ID, p Phase) (ok bool) {
	h := a.holders[id]
	if h == nil {
		return false
	}
	if h.phase != p {
		h.phase, h.moved, h.movedAt = p, 0, now
	}
	return true
}

// Close removes a holder.
func (a *Account) Close(id ID) {
	if h := a.holders[id]; h != nil {
		a.used -= h.bytes
		delete(a.holders, id)
	}
}

func (a *Account) revoke(now time.Time, id ID) Victim {
	h := a.holders[id]
	v := Victim{ID: id, Phase: h.phase, Bytes: h.bytes, Stalled: h.stalled(now)}
	a.Close(id)
	return v
}

// findVictim returns the holder that ranks first among those that may have to give way, other than one; of equals, the one that came last.
func (a *Account) findVictim(now time.Time, other ID, rank func(time.Time, *holder) float64) (id ID, found bool) {
	highest := 0.0
	for x, h := range a.holders {
		if x == other || !h.revocable(now) {
			continue
		}
		if r := rank(now, h); !found || r > highest || r == highest && x > id {
			id, highest, found = x, r, true
		}
	}
	return id, found
}

// longestStalled ranks by the time since the holder last moved.
func longestStalled(now time.Time, h *holder) float64 { return h.stalled(now).Seconds() }

// mostHeld ranks by what the holder has and the time since it last moved; a holder that has just moved still counts by what it has.
func mostHeld(now time.Time, h *holder) float64 {
	return float64(h.bytes) * (h.stalled(now) + time.Millisecond).Seconds()
}
