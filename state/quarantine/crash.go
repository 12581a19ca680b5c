package quarantine

import (
	"slices"
	"time"

	"shallotring.dev/state/blame"
	"shallotring.dev/state/call"
	"shallotring.dev/state/ident"
)

// maxSuspects bounds the parts of a crash.
const maxSuspects = 256

// Suspect is a prompt part that interrupted requests of a crashed engine had.
type Suspect struct {
	Part call.PartID
	// Share is the share of the engines that had a request with the part in progress at that moment; 1 if it is not known.
	Share float64
	// Completed of Of complete runs that the reporting entry has counted had the part.
	Completed int `json:",omitempty"`
	Of        int `json:",omitempty"`
	// Reports is the number of entries that have reported the part, Load the sum over these of the mean number of its runs in progress at an engine;
	// 0 if it is not known.
	Reports int     `json:",omitempty"`
	Load    float64 `json:",omitempty"`
	// RanMilli is the time since the latest send of a request with the part; 0 if it is not known.
	RanMilli int64 `json:",omitempty"`
}

func (s Suspect) presence() blame.Presence {
	return blame.Presence{Share: s.Share, Completed: s.Completed, Of: s.Of, Reports: s.Reports, Load: s.Load, Ran: time.Duration(s.RanMilli) * time.Millisecond}
}

func newSuspect(p call.PartID, x blame.Presence) Suspect {
	return Suspect{Part: p, Share: x.Share, Completed: x.Completed, Of: x.Of, Reports: x.Reports, Load: x.Load, RanMilli: (x.Ran + time.Millisecond - 1).Milliseconds()}
}

// Crash is the end of an incarnation of an engine with requests in progress.
type Crash struct {
	Endpoint   ident.Endpoint
	StartMilli int64
	// Service is that of the engine; empty if it is not known.
	Service ident.Service
	At      time.Time
	// Requests is the number of interrupted requests that are known.
	Requests int
	Suspects []Suspect
}

// MergeSuspects adds parts that requests or entries have reported to a list, which has at most 256 parts.
func MergeSuspects(list, more []Suspect) []Suspect {
	for _, s := range more {
		i := slices.IndexFunc(list, func(x Suspect) bool { return x.Part == s.Part })
		if i < 0 {
			if len(list) < maxSuspects {
				list = append(list, s)
			}
			continue
		}
		list[i] = newSuspect(s.Part, list[i].presence().Add(s.presence()))
	}
	return list
}
