package fingerprint

import (
	"strings"
	"testing"

	"shallotring.dev/state/ident"
)

// TestDifferentRequestsHaveDifferentFingerprints guards against a request that is refused because another one crashes endpoints.
func TestDifferentRequestsHaveDifferentFingerprints(t *testing.T) {
	seen := make(map[Fingerprint]int)
	for i, r := range []struct {
		method, host, target string
		caller               ident.Caller
		body                 string
	}{
		{"GET", "a.example", "/x/1", "", ""},
		{"POST", "a.example", "/x/1", "", ""},
		{"GET", "b.example", "/x/1", "", ""},
		{"GET", "a.example", "/x/12", "", ""},
		{"GET", "a.example", "/x/1?page=2", "", ""},
		{"GET", "a.example", "/x/1", "one", ""},
		{"GET", "a.example", "/x/1", "two", ""},
		{"GET", "a.example", "/x/1", "", "body"},
		// The fields together have the same bytes as another request's.
		{"GET", "a.example/x/1", "", "", ""},
		{"GETa.example", "", "/x/1", "", ""},
		{"GET", "a.example", "/x/1one", "", ""},
		{"GET", "a.example", "/x/1", "", "one"},
	} {
		p := Of(r.method, r.host, r.target, r.caller, []byte(r.body))
		if other, ok := seen[p]; ok {
			t.Errorf("requests %d and %d have the same fingerprint", other, i)
		}
		seen[p] = i
		if again := Of(r.method, r.host, r.target, r.caller, []byte(r.body)); again != p {
			t.Errorf("request %d has two fingerprints", i)
		}
	}
}

// TestParse guards against keys and messages of other programs that name a request by accident.
func TestParse(t *testing.T) {
	p := Of("GET", "a.example", "/", "", nil)
	if q, err := Parse(p.String()); err != nil || q != p {
		t.Errorf("parsed %v %v, want %v", q, err, p)
	}
	for _, text := range []string{"", "2f1", strings.Repeat("0", 31), strings.Repeat("0", 33), strings.Repeat("x", 32)} {
		if _, err := Parse(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
