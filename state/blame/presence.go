package blame

import "time"

// Presence is what observers know of a candidate at an end.
type Presence struct {
	// Share is the highest share of the endpoints that had it in progress at one observer at that moment, this one included.
	Share float64
	// Reports is the number of observers that had it in progress there, and Load the sum over these of the mean number of runs with it that they had
	// in progress at all endpoints in the seconds before, for each endpoint and multiplied by the number of observers. Both are 0 if that is not known.
	Reports int
	Load    float64
	// Completed of Of complete runs that the observer has counted had it.
	Completed, Of int
	// Ran is the time since the send of its latest run; 0 if it is not known.
	Ran time.Duration
}

// Add adds what another observer knows of the same end.
func (p Presence) Add(x Presence) Presence {
	reports, load := p.Reports+x.Reports, p.Load+x.Load
	p = p.Merge(x)
	p.Reports, p.Load = reports, load
	return p
}

// Merge adds a report that may have been counted: of two, that of more observers counts, and the one with more complete runs knows their share.
func (p Presence) Merge(x Presence) Presence {
	if x.Of > p.Of {
		p.Completed, p.Of = x.Completed, x.Of
	}
	if x.Reports > p.Reports {
		p.Reports, p.Load = x.Reports, x.Load
	}
	if p.Ran == 0 || x.Ran > 0 && x.Ran < p.Ran {
		p.Ran = x.Ran
	}
	p.Share = max(p.Share, x.Share)
	return p
}
