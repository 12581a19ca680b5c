package blame

import (
	"math"
	"time"
)

const (
	// waveTime is the time after an end in which further ends may have the same cause outside the requests: processes notice the ends of one
	// disturbance at different moments.
	waveTime = 3 * time.Second
	// maxWaveEvidence bounds the evidence of ends with one cause. It is less than any verdict needs.
	maxWaveEvidence = 8.0
	// choiceMargin is the evidence of this kind beyond the logarithm of the number of candidates that a verdict needs.
	choiceMargin = 5.5
	// maxShare is the highest share of the endpoints that a candidate is taken to be at.
	maxShare = 0.999
	// maxRisk is the highest ratio of the risks of endpoints with and without a candidate.
	maxRisk = 1e6
)

// choice has the ends that nobody explains, to compare a candidate by which endpoints ended, whatever the rate of ends was.
type choice struct {
	// present has the probabilities that the candidate was at the ends at which it was, by wave, and absent those for the others.
	present [][]float64
	absent  []float64
	// load is the mean number of runs with the candidate in progress at an endpoint.
	load float64
}

// newChoice counts the ends; share is that of the time for which an endpoint has the candidate, and blamed is set if it is in quarantine.
func (a *Account[K]) newChoice(c K, list []sighting[K], open *openEnds, share float64, blamed bool) (x choice) {
	var first, last, wave time.Time
	for _, s := range list {
		if s.explained {
			continue
		}
		if first.IsZero() {
			first = s.at
		}
		last = s.at
	}
	x.load = max(a.meanLoad(list), -math.Log1p(-min(share, maxShare)))
	for _, e := range a.ends {
		p, present := e.present[c]
		switch {
		case e.explained, blamed && e.at.After(last):
			// Requests with a candidate in quarantine are refused, so later ends say nothing of it.
		case present:
			// A run that was sent after the first end of a wave was not in progress then.
			if len(x.present) == 0 || e.at.Sub(wave) > waveTime || p.Ran > 0 && e.at.Add(-p.Ran).After(wave) {
				x.present, wave = append(x.present, nil), e.at
			}
			n := len(x.present) - 1
			x.present[n] = append(x.present[n], x.share(open.busy(e.requests-1)))
		case e.at.After(first.Add(-waveTime)) && e.at.Before(last.Add(waveTime)):
			x.absent = append(x.absent, x.share(open.busy(e.requests)))
		default:
			x.absent = append(x.absent, min(share, x.share(1)))
		}
	}
	return x
}

// share returns the probability that an endpoint has the candidate which is that much busier than others.
func (x choice) share(busy float64) float64 { return -math.Expm1(-x.load * busy) }

// meanLoad returns the mean load of a candidate at the ends that nobody explains, 0 if there are none. Earlier builds report the share of the endpoints
// with the candidate at one observer, this one included.
func (a *Account[K]) meanLoad(list []sighting[K]) (sum float64) {
	reports := 0
	for _, s := range list {
		switch {
		case s.explained:
		case s.Reports > 0:
			sum, reports = sum+s.Load, reports+s.Reports
		default:
			sum, reports = sum+max(s.Share-1/float64(a.endpointCount), 0)*float64(a.observers), reports+1
		}
	}
	return sum / float64(max(reports, 1))
}

// evidence returns the logarithm of the ratio of the likelihoods that these endpoints ended and no others, if those with the candidate have a higher
// risk and if all have the same.
func (x choice) evidence() (sum float64) {
	risk, n := 2.0, 0
	for range fitSteps {
		expected := 0.0
		n = 0
		for _, wave := range x.present {
			n += len(wave)
			for _, s := range wave {
				expected += s * risk / (1 + s*(risk-1))
			}
		}
		for _, s := range x.absent {
			expected += s * risk / (1 + s*(risk-1))
		}
		risk = min(max(risk*float64(n)/expected, 1), maxRisk)
	}
	for _, wave := range x.present {
		one := 0.0
		for _, s := range wave {
			one += math.Log(risk) - math.Log1p(s*(risk-1))
		}
		sum += min(one, maxWaveEvidence)
	}
	for _, s := range x.absent {
		sum -= math.Log1p(s * (risk - 1))
	}
	return sum
}
