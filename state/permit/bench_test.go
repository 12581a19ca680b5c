package permit

import (
	"fmt"
	"testing"

	"shallotring.dev/state/ident"
)

// BenchmarkTakeFor measures the grant of one permit while every endpoint requests one.
func BenchmarkTakeFor(b *testing.B) {
	for _, endpoints := range []int{20, 200, 600} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			budget := New(4, 8, start)
			names := make([]ident.Endpoint, endpoints)
			for i := range names {
				names[i] = ident.Endpoint(fmt.Sprint("engine-", i))
			}
			ms, i := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				ms++
				e := names[i%endpoints]
				if budget.TakeFor(at(ms/10), e, float64(i%5)) {
					budget.Begin(at(ms/10), e)
					budget.Done(e)
				}
				i++
			}
		})
	}
}
