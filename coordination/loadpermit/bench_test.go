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

// permitServer serves only Permit.
type permitServer struct {
	wire.Entry
	*Holder
}

// Permit passes the request to the holder.
func (p permitServer) Permit(ctx context.Context, request *wire.PermitRequest) (*wire.PermitResponse, error) {
	return p.Holder.Permit(ctx, request)
}

// BenchmarkPermit requests permits from the holder over loopback; the time includes that of the client.
func BenchmarkPermit(b *testing.B) {
	h := NewHolder(nil, registry.ProcessRecord{}, fixedConfiguration{resource.NewSet()}, WithClock(quartz.NewReal()))
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
