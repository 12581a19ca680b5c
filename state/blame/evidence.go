package blame

import (
	"math"
	"time"
)

// openEnds counts the ends that nobody explains yet.
type openEnds struct {
	// alone are those that follow no other one, followers the others by outage.
	alone     int
	followers map[int]int
	// loads are those of the candidates at ends.
	loads []float64
	// usual is the mean number of runs in progress at an endpoint, 0 if it is not known.
	usual float64
}

func (a *Account[K]) countOpen(seen map[K][]sighting[K]) (n openEnds) {
	n.followers = make(map[int]int)
	for _, e := range a.ends {
		switch {
		case e.explained:
		case e.follows:
			n.followers[e.outage]++
		default:
			n.alone++
		}
	}
	for _, list := range seen {
		n.loads = append(n.loads, a.meanLoad(list))
	}
	if len(a.ends) > 0 {
		n.usual = a.loads.mean(a.ends[len(a.ends)-1].at, &a.loads.all) * float64(a.observers) / float64(a.endpointCount)
	}
	return n
}

// busy returns how much busier than others an endpoint was that ended with a number of further requests in progress: one that has ended and is not
// known to goes on getting requests.
func (n *openEnds) busy(requests int) float64 {
	if n.usual == 0 {
		return 1
	}
	return max((float64(requests)+1)/(n.usual+1), 1)
}

// threshold returns the evidence that a verdict needs.
func (a *Account[K]) threshold() float64 {
	return math.Log(float64(a.candidates())) + margin
}

// candidates returns the number of candidates that are weighed.
func (a *Account[K]) candidates() int {
	return max(len(a.current.exposures)+len(a.previous.exposures), minCandidates)
}

// own returns the number of complete runs of a candidate that this account has counted.
func (a *Account[K]) own(c K) int {
	return a.current.exposures[c].completed + a.previous.exposures[c].completed
}

// completed returns the number of complete runs that this account has counted.
func (a *Account[K]) completed() int { return a.current.completed + a.previous.completed }

// runTime returns the mean duration of complete runs.
func (a *Account[K]) runTime() time.Duration {
	n := a.completed()
	if n == 0 {
		return defaultRunTime
	}
	return max((a.current.runTime+a.previous.runTime)/time.Duration(n), minRunTime)
}

// up returns the time for which endpoints were up while ends were known, in seconds.
func (a *Account[K]) up() float64 {
	counted := a.observedAt
	if counted.IsZero() && len(a.ends) > 0 {
		counted = a.ends[len(a.ends)-1].at
	}
	uncounted := time.Duration(a.endpointCount) * max(counted.Sub(a.since), 0)
	return max(a.counted()+uncounted.Seconds(), 1)
}

// counted returns the time for which endpoints were counted as up, in seconds.
func (a *Account[K]) counted() float64 {
	return (a.current.endpointUp + a.previous.endpointUp).Seconds()
}

// weigh compares two explanations of the ends that nobody explains yet: they come at one rate, or runs with the candidate end their endpoints with
// some probability beside ends at another rate. Both take the values that make the observations most likely. Ends that come in waves have no rate, so the
// evidence is at most that of which endpoints ended. It also returns the mean share of the endpoints that had the candidate.
func (a *Account[K]) weigh(c K, list []sighting[K], open *openEnds) (v Verdict[K], share float64) {
	v = Verdict[K]{Candidate: c, Of: open.alone}
	alone, completed, of, most := 0, a.own(c), a.completed(), 0
	for _, s := range list {
		completed, of, most = completed+s.Completed, of+s.Of, max(most, s.Of)
		if s.explained {
			continue
		}
		v.Ends++
		share += s.Share
		if !s.follows {
			alone++
		}
	}
	if v.Ends == 0 {
		return v, 0
	}
	share /= float64(v.Ends)
	total := 0.0
	if of > 0 {
		total = a.total(most) * (float64(completed) + priorRuns) / float64(of)
	}
	v.Completed = int(total)
	up, runTime := a.up(), a.runTime().Seconds()
	v.Share = -math.Expm1(-(total + float64(v.Ends)) * runTime / up)
	v.Evidence = a.evidence(list, open, v, alone, total, up, runTime)
	if v.Evidence >= knownMargin {
		_, blamed := a.verdicts[c]
		x := a.newChoice(c, list, open, v.Share, blamed)
		chosen := x.evidence()
		if !a.known[c] {
			chosen += a.rarity(x.load, open) + margin - choiceMargin
		}
		v.Evidence = min(v.Evidence, chosen)
	}
	return v, share
}

// rarity returns by how much less than all candidates those are, in logarithms, that have a load or more. Of those with a low load, few are at ends, so
// each stands for more.
func (a *Account[K]) rarity(load float64, open *openEnds) float64 {
	all, count := float64(a.candidates()), 1.0
	for _, l := range open.loads {
		if l >= load {
			count -= 1 / math.Expm1(-l*float64(len(a.ends)))
		}
	}
	return max(math.Log(all/max(count, minCandidates)), 0)
}

// total estimates the number of complete runs at all observers while ends were known; most is the highest count of another one.
func (a *Account[K]) total(most int) float64 {
	n := float64(a.completed())
	if counted := a.counted(); counted > 0 {
		n *= max(a.up()/counted, 1)
	}
	return float64(a.observers) * max(n, float64(most))
}

// evidence returns the logarithm of the ratio of likelihoods.
func (a *Account[K]) evidence(list []sighting[K], open *openEnds, v Verdict[K], alone int, completed, up, runTime float64) (sum float64) {
	n := float64(v.Of)
	rate := (n + priorEnds) / up
	harm, rest := 0.5, rate/2
	for range fitSteps {
		by := harm / (harm + rest*runTime)
		rest = (n - float64(alone)*by + priorEnds) / up
		harm = min(float64(v.Ends)*by/(float64(v.Ends)*by+completed), maxHarm)
	}
	single := math.Log((rest + harm/runTime) / rate)
	sum = float64(alone)*single + float64(v.Of-alone)*math.Log(rest/rate) + (rate-rest)*up + completed*math.Log1p(-harm)
	for i := 0; i < len(list); {
		outage, present, share := list[i].outage, 0, 0.0
		for ; i < len(list) && list[i].outage == outage; i++ {
			if s := list[i]; s.follows && !s.explained {
				present++
				share += min(max(s.Share, v.Share), 1)
			}
		}
		if present > 0 {
			sum += min(float64(present)*single, excess(present, open.followers[outage], share/float64(present)))
		}
	}
	return sum
}

// excess returns the logarithm of the ratio of likelihoods for a candidate that is present at some of all ends of an outage, if it causes them and
// if it is there as often as anywhere.
func excess(present, all int, share float64) float64 {
	k, n := float64(present), float64(all)
	if k <= n*share {
		return 0
	}
	sum := k * math.Log(k/(n*share))
	if present < all {
		sum += (n - k) * math.Log((n-k)/(n*(1-share)))
	}
	return sum
}
