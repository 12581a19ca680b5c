package entry

import (
	"net"
	"net/http"
	"testing"

	"shallotring.dev/transport/server"
	"shallotring.dev/transport/server/servertest"
	"shallotring.dev/transport/settings"
)

// TestAdminPortOverTLS guards against an admin port that serves clients without a certificate, or without TLS, although
// its settings name a CA.
func TestAdminPortOverTLS(t *testing.T) {
	ca := servertest.NewAuthority(t)
	s := testSettings()
	s.AdminTLS = ca.Keys("admin")
	r := startEntry(t, s, twoAgents(t))
	for _, tt := range []struct {
		name   string
		keys   settings.TLS
		served bool
	}{
		{"own certificate", ca.Keys("operator"), true},
		{"no certificate", settings.TLS{CAFile: ca.File}, false},
	} {
		dial, err := server.DialTLS(tt.keys, (&net.Dialer{}).DialContext)
		if err != nil {
			t.Fatal(err)
		}
		tr := &http.Transport{DialTLSContext: dial, DisableKeepAlives: true}
		a, err := (&http.Client{Transport: tr}).Get("https://" + r.AdminAddr() + "/metrics")
		if (err == nil) != tt.served {
			t.Errorf("%s: %v", tt.name, err)
		}
		if err == nil {
			readAll(t, a)
		}
	}
	if a, err := http.Get("http://" + r.AdminAddr() + "/metrics"); err == nil {
		if readAll(t, a); a.StatusCode == http.StatusOK {
			t.Error("the admin port serves requests without TLS")
		}
	}
}
