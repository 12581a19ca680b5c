package loadpermit

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/resource"
)

type fixedConfiguration struct{ set *resource.Set }

func (f fixedConfiguration) Current() *resource.Set { return f.set }

// permitServer serves only the permits.
type permitServer struct {
	wire.Entry
	*Holder
}

// Permit goes to the holder.
func (p permitServer) Permit(ctx context.Context, q *wire.PermitRequest) (*wire.PermitResponse, error) {
	return p.Holder.Permit(ctx, q)
}

// BenchmarkPermit asks the holder for a permit over loopback; the time contains the client's share.
func BenchmarkPermit(b *testing.B) {
	h := New(nil, registry.ProcessRecord{}, fixedConfiguration{resource.NewSet()}, WithClock(quartz.NewReal()))
	h.grantUntil = h.clock.Now().Add(time.Hour)
	s := httptest.NewServer(wire.NewEntryServer(permitServer{Holder: h}))
	defer s.Close()
	c := wire.NewEntryProtobufClient(s.URL, &http.Client{Transport: &http.Transport{}})
	for b.Loop() {
		if _, err := c.Permit(b.Context(), &wire.PermitRequest{Endpoint: "engine-1", Wanted: 1}); err != nil {
			b.Fatal(err)
		}
	}
}
