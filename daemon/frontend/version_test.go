package frontend

import (
	"io"
	"net/http"
	"testing"

	"shallotring.dev/state/holdings"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/inventory"
)

// TestVersionDeclaredWhileWaiting guards against a request that runs on an older version of its adapter because it waited for that version
// while a newer one was declared. Same class as incident STALE.
func TestVersionDeclaredWhileWaiting(t *testing.T) {
	for _, c := range []struct {
		name string
		// declared is the version that is declared during the wait, want the one that the request is sent with.
		declared, want ident.Version
	}{
		{name: "newer", declared: "4", want: "4"},
		{name: "the same again", declared: sourceAdapter.Version, want: sourceAdapter.Version},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newSourceTrial(t)
			versions := make(chan ident.Version, 1)
			b := newBackend(t, func(_ *backend, w http.ResponseWriter, r *http.Request) {
				versions <- ident.Version(r.Header.Get("Shallotring-Expect-Version"))
				x.sources <- ""
				seal(w, r)
				w.Header().Set("Content-Type", "text/event-stream")
				io.WriteString(w, "id: 1\ndata: x\n\n")
			})
			x.RemoveEndpoint("i-far")
			x.UpdateEndpoint(inventory.Endpoint{ID: "i-near", Service: "llm", Address: b.Listener.Addr().String(), Zone: "a", BatchSize: 64, StartMilli: 1})
			x.endpoints["i-near"].link = x.near
			x.observe(x.near, 1, "1")
			done := make(chan string)
			go func() { done <- x.source() }()
			if r := <-x.near.reports; len(r.Wants) != 1 || r.Wants[0].Adapter != sourceAdapter {
				t.Errorf("demand %+v, want %v", r.Wants, sourceAdapter)
			}
			x.DeclareVersion(ident.AdapterVersion{Adapter: sourceAdapter.Adapter, Version: c.declared})
			if c.declared != sourceAdapter.Version {
				withdrawn := false
				for r := range x.near.reports {
					if len(r.Wants) == 1 && r.Wants[0].Waiting > 0 && r.Wants[0].Adapter.Version == c.declared {
						break
					}
					withdrawn = withdrawn || (len(r.Wants) == 1 && r.Wants[0] == holdings.Demand{Adapter: sourceAdapter})
				}
				if !withdrawn {
					t.Error("the demand for the previous version is not withdrawn")
				}
			}
			x.observe(x.near, 1, "1", ident.AdapterVersion{Adapter: sourceAdapter.Adapter, Version: c.want})
			if v := <-versions; v != c.want {
				t.Errorf("sent with version %s, want %s", v, c.want)
			}
			<-done
		})
	}
}
