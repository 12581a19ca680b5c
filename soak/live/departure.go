package live

import (
	"context"
	"math/rand/v2"
	"time"

	"shallotring.dev/standin/link"
)

// runDeparturePhase makes an endpoint leave, announced or not, while the path of an entry to the store fails. The endpoint serves on for many seconds
// after the path is back, with planned faults only, so that requests which still reach it are seen.
func (d *deployment) runDeparturePhase(ctx context.Context, random *rand.Rand, faultSlots chan struct{}) (count int) {
	l, endFault := d.randomEntry(random).storeLink, d.judge.beginFault()
	endpoint, announced := d.randomEndpoint(random), random.IntN(2) == 0
	failure, before, after := randomLinkFault(random), randomDuration(random, 100, 3000), randomDuration(random, 100, 3000)
	serveOn := after + quietPeriod + randomDuration(random, 2000, 5000)
	l.Set(failure)
	time.Sleep(before)
	left := make(chan struct{})
	releases := rand.New(rand.NewPCG(random.Uint64(), 1))
	go func() {
		defer close(left)
		d.releaseEndpoint(endpoint, releases, announced, serveOn)
	}()
	time.Sleep(after)
	l.Set(link.Fault{})
	endFault()
	count = 1 + d.runPhase(ctx, random, faultSlots, time.Now().Add(serveOn-after), true)
	<-left
	return count
}
