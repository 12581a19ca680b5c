package live

import (
	"hash/fnv"
	"io"

	"shallotring.dev/platform/standin"
)

// sharedPart is the first part of the prompt of all requests; engines keep it for each adapter.
const sharedPart = 7

// firstSession is the first of the parts that the requests of a session share.
const firstSession = 100

// partID returns the id of the part of a prompt that only one request has.
func partID(request string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, request)
	return h.Sum64()
}

// checkPrompt checks that the weights of a run made all cached parts of its prompt; the caller holds the lock.
func (j *judge) checkPrompt(c *call, a standin.Arrival) {
	if a.Source != "" {
		j.counts["prompt sources"]++
	}
	if len(a.PromptWeights) > 0 {
		j.counts["cached prompts"]++
	}
	for _, w := range a.PromptWeights {
		if w != a.Weights {
			j.addViolationLocked("stale prompt", "%s ran under %+v with a part of the prompt that %+v made, source %q: %s", a.Engine, a.Weights, w, a.Source, c)
			return
		}
	}
}
