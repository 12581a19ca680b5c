package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// sample has a setting of each kind that the programs have.
type sample struct {
	Identity
	Wait  time.Duration
	Count int
	Names []string
	Keys  TLS
}

func (s *sample) Check() (err error) {
	if err = s.Identity.Check(); err != nil {
		return err
	}
	if err = CheckDistinct("Names", s.Names); err != nil {
		return err
	}
	if err = (Range[int64]{Key: "Count", Value: int64(s.Count), Max: 10}).Check(); err != nil {
		return err
	}
	if err = (Range[time.Duration]{Key: "Wait", Value: s.Wait, Max: time.Hour}).Check(); err != nil {
		return err
	}
	return s.Keys.CheckMutual()
}

// TestLoad guards against a mistake in a settings file that leaves a default in force unnoticed, and against errors without the
// file, the key or the reason.
func TestLoad(t *testing.T) {
	const identity = "Host = \"h\"\nZone = \"z\"\n"
	tests := []struct{ name, text, want string }{
		{"valid", identity + "Wait = \"5s\"\nCount = 3\nNames = [\"a\"]\n[Keys]\nCertFile = \"c\"\nKeyFile = \"k\"\nCAFile = \"a\"\n", ""},
		{"unknown key", identity + "Waits = 1", "Waits: unknown key"},
		{"unknown table", identity + "[Other]\nA = 1", "Other: unknown key"},
		{"unknown key in a table", identity + "[Keys]\nCert = \"c\"", "Keys.Cert: unknown key"},
		{"key of the embedded type as a table", identity + "[Identity]\nHost = \"x\"", "Identity"},
		{"key in another case", identity + "count = 3", "count: unknown key; it is written Count"},
		{"key in two cases", identity + "Count = 3\ncount = 4", "count: unknown key"},
		{"key twice", identity + "Count = 3\nCount = 4", "Count"},
		{"not TOML", "Host h", "toml: line 1"},
		{"wrong type", identity + "Count = \"three\"", "Count"},
		{"fraction for an integer", identity + "Count = 1.5", "Count"},
		{"duration without unit", identity + "Wait = 5", "Wait: must be a string with a unit"},
		{"duration as text without unit", identity + "Wait = \"5\"", "Wait"},
		{"unknown unit", identity + "Wait = \"5 seconds\"", "Wait"},
		{"duration out of range", identity + "Wait = \"2h\"", "Wait: 2h0m0s is not between 0s and 1h0m0s"},
		{"number out of range", identity + "Count = 11", "Count: 11 is not between 0 and 10"},
		{"value listed twice", identity + "Names = [\"a\", \"b\", \"a\"]", "Names: \"a\" is listed twice"},
		{"no zone", "Host = \"h\"", "Zone: must be set"},
		{"half a key pair", identity + "[Keys]\nCertFile = \"c\"", "CertFile, KeyFile: must be set together"},
		{"CA without keys", identity + "[Keys]\nCAFile = \"c\"", "CAFile: needs CertFile and KeyFile"},
		{"keys without CA", identity + "[Keys]\nCertFile = \"c\"\nKeyFile = \"k\"", "CAFile: must be set with CertFile"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "x.toml")
			if err := os.WriteFile(file, []byte(tt.text), 0o600); err != nil {
				t.Fatal(err)
			}
			err := Load(file, &sample{})
			if tt.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) || !strings.Contains(err.Error(), file) {
				t.Errorf("got %v, want file and %q", err, tt.want)
			}
		})
	}
	missing := filepath.Join(t.TempDir(), "missing.toml")
	if err := Load(missing, &sample{}); err == nil || !strings.Contains(err.Error(), missing) {
		t.Errorf("missing file: %v", err)
	}
}

// TestAddresses guards against accepting addresses and URLs that cannot be used.
func TestAddresses(t *testing.T) {
	for _, tt := range []struct {
		text                       string
		address, advertised, isURL bool
	}{
		{"10.0.0.1:80", true, true, false},
		{"[::1]:80", true, true, false},
		{"10.0.0.1:0", true, false, false},
		{"0.0.0.0:80", true, false, false},
		{"[::]:80", true, false, false},
		{"", false, false, false},
		{":80", false, false, false},
		{"10.0.0.1", false, false, false},
		{"10.0.0.1:x", false, false, false},
		{"10.0.0.1:65536", false, false, false},
		{"host:80", false, false, false},
		{"http://10.0.0.1:80", false, false, true},
		{"https://store", false, false, true},
		{"ftp://store", false, false, false},
		{"http://", false, false, false},
	} {
		if err := CheckAddress("K", tt.text); (err == nil) != tt.address || (err != nil && !strings.HasPrefix(err.Error(), "K: ")) {
			t.Errorf("address %q: %v", tt.text, err)
		}
		if err := CheckAdvertisedAddress("K", tt.text); (err == nil) != tt.advertised {
			t.Errorf("advertised %q: %v", tt.text, err)
		}
		if err := CheckURL("K", tt.text); (err == nil) != tt.isURL {
			t.Errorf("URL %q: %v", tt.text, err)
		}
	}
}

// TestListeners guards against accepting a listener that other hosts reach without TLS, and two listeners with the same address.
func TestListeners(t *testing.T) {
	keys := TLS{CertFile: "c", KeyFile: "k"}
	for _, tt := range []struct {
		name  string
		allow bool
		list  []Listener
		want  string
	}{
		{"loopback", false, []Listener{{"A", "127.0.0.1:1", TLS{}}, {"B", "[::1]:1", TLS{}}}, ""},
		{"two listeners on any port", false, []Listener{{"A", "127.0.0.1:0", TLS{}}, {"B", "127.0.0.1:0", TLS{}}}, ""},
		{"off loopback with TLS keys", false, []Listener{{"A", "0.0.0.0:1", keys}}, ""},
		{"off loopback without TLS keys, allowed", true, []Listener{{"A", "0.0.0.0:1", TLS{}}}, ""},
		{"off loopback without TLS keys", false, []Listener{{"A", "0.0.0.0:1", TLS{}}}, "A: \"0.0.0.0:1\" is not on loopback"},
		{"same address", false, []Listener{{"A", "127.0.0.1:1", TLS{}}, {"B", "127.0.0.1:1", TLS{}}}, "B: \"127.0.0.1:1\" is the address of A"},
		{"no address", false, []Listener{{"A", "", TLS{}}}, "A: must be set"},
	} {
		err := CheckListeners(tt.allow, tt.list...)
		if (err == nil) != (tt.want == "") || (err != nil && !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("%s: %v, want %q", tt.name, err, tt.want)
		}
	}
}
