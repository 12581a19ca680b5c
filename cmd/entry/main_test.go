package main

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"shallotring.dev/daemon/entry"
	"shallotring.dev/daemon/node"
)

// Guards against an example file that the program refuses, and against errors for invalid files that do not name the file, the key
// and the reason. Each case replaces one text of the example.
func TestSettingsFiles(t *testing.T) {
	example, err := os.ReadFile("entry.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ name, from, to, want string }{
		{"unchanged example", "", "", ""},
		{"unknown key", "MaxTries", "MaxTrials", "MaxTrials: unknown key"},
		{"unknown key in a table", "KeyFile", "SecretFile", "TLS.SecretFile: unknown key"},
		{"key in another case", "MaxTries", "maxtries", "maxtries: unknown key; it is written MaxTries"},
		{"key set twice", "MaxTries = 3", "MaxTries = 3\nMaxTries = 4", "MaxTries"},
		{"string in place of a number", "MaxTries = 3", `MaxTries = "three"`, "MaxTries"},
		{"number below its range", "MaxTries = 3", "MaxTries = 0", "MaxTries: 0 is not between 1 and 100"},
		{"number above its range", "BodyBytes = 4194304", "BodyBytes = 8388608", "BodyBytes: 8388608 is not between"},
		{"negative time", `BalancerWait = "5s"`, `BalancerWait = "-1s"`, "BalancerWait: -1s is not between"},
		{"time without a unit", `BodyTimeout = "30s"`, "BodyTimeout = 30", "BodyTimeout: must be a string with a unit"},
		{"time with a wrong unit", `BodyTimeout = "30s"`, `BodyTimeout = "30 sec"`, "BodyTimeout"},
		{"no host", `Host = "host-17"`, "", "Host: must be set"},
		{"no zone", `Zone = "zone-a"`, "", "Zone: must be set"},
		{"no address", `Address = "0.0.0.0:8443"`, "", "Address: must be set"},
		{"no admin address", `AdminAddress = "127.0.0.1:8081"`, "", "AdminAddress: must be set"},
		{"no peer address", `PeerAddress = "10.0.0.17:8444"`, "", "PeerAddress: must be set"},
		{"host name as address", "0.0.0.0:8443", "localhost:8443", "Address: \"localhost\" is not an IP number"},
		{"port out of range", "0.0.0.0:8443", "0.0.0.0:84430", "Address: port \"84430\" must be between"},
		{"one address for two settings", "10.0.0.17:8444", "0.0.0.0:8443", `PeerAddress: "0.0.0.0:8443" is the address of Address`},
		{"admin address not on loopback", "127.0.0.1:8081", "10.0.0.17:8081", "AdminAddress: \"10.0.0.17:8081\" is not on loopback"},
		{"no key-value service", `["https://10.0.0.5:2379"]`, "[]", "KeyValue: must name at least one URL"},
		{"key-value service without scheme", `["https://10.0.0.5:2379"]`, `["10.0.0.5:2379"]`, "KeyValue: "},
		{"key-value service without TLS", `["https://10.0.0.5:2379"]`, `["http://10.0.0.5:2379"]`, "must be an https URL"},
		{"key-value service listed twice", `["https://10.0.0.5:2379"]`, `["https://a:1", "https://a:1"]`, "KeyValue: \"https://a:1\" is listed twice"},
		{"peer listed twice", `["10.0.0.18:8444"]`, `["10.0.0.18:1", "10.0.0.18:1"]`, "Peers: \"10.0.0.18:1\" is listed twice"},
		{"peer on any address", `["10.0.0.18:8444"]`, `["0.0.0.0:8444"]`, "Peers: "},
		{"certificate without key file", `KeyFile = "/etc/shallotring/entry.key"`, "", "TLS: CertFile, KeyFile: must be set together"},
		{"peers that do not verify each other", `CAFile = "/etc/shallotring/peers.pem"`, "", "PeerTLS: CAFile: must be set"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "entry.toml")
			text := strings.Replace(string(example), tt.from, tt.to, 1)
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := loadSettings(file)
			if tt.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) || !strings.Contains(err.Error(), file) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}

// Guards against an example file whose values differ from the program's defaults, or that lacks a key.
func TestExampleShowsTheDefaults(t *testing.T) {
	got, err := loadSettings("entry.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := node.DefaultEntrySettings()
	want.Identity, want.Service = got.Identity, got.Service
	want.Address, want.AdminAddress, want.PeerAddress = got.Address, got.AdminAddress, got.PeerAddress
	want.TLS, want.PeerTLS = got.TLS, got.PeerTLS
	if !reflect.DeepEqual(got, want) {
		t.Errorf("example: %+v\ndefaults: %+v", got, want)
	}
	text, err := os.ReadFile("entry.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []reflect.Type{reflect.TypeFor[entry.Settings](), reflect.TypeFor[node.Service](), reflect.TypeFor[node.EntrySettings]()} {
		for i := range v.NumField() {
			if f := v.Field(i); !f.Anonymous && !strings.Contains(string(text), f.Name) {
				t.Errorf("the example does not show %s", f.Name)
			}
		}
	}
}
