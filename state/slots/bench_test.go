package slots

import (
	"fmt"
	"testing"
	"time"

	"shallotring.dev/state/ident"
)

// BenchmarkLoadEvict measures one eviction and one load at an engine that has had requests for all adapters. The decision is made
// per engine, so it does not depend on the number of endpoints.
func BenchmarkLoadEvict(b *testing.B) {
	for _, adapters := range []int{3000, 40_000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			s := New(8)
			names := make([]ident.AdapterVersion, adapters)
			for i := range names {
				names[i] = adapter(fmt.Sprint("adapter-", i))
				s.RecordDemand(at(float64(i)/1000), names[i])
			}
			for i := range 8 {
				s.BeginLoad(at(40), names[i])
				s.Loaded(at(41), names[i])
			}
			now, i := at(50), 8
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(3 * time.Second)
				v, _ := s.Victim(now)
				s.BeginUnload(v)
				s.Drop(v)
				s.RecordDemand(now, names[i%adapters])
				s.BeginLoad(now, names[i%adapters])
				s.Loaded(now, names[i%adapters])
				i++
			}
		})
	}
}
