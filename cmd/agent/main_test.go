package main

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"shallotring.dev/daemon/agent"
	"shallotring.dev/daemon/node"
)

// Guards against an example file that the program refuses, and against errors for invalid files that do not name the file, the key
// and the reason. Each case replaces one text of the example.
func TestSettingsFiles(t *testing.T) {
	example, err := os.ReadFile("agent.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ name, from, to, want string }{
		{"unchanged example", "", "", ""},
		{"unknown key", "Endpoint = ", "Engine = ", "Engine: unknown key"},
		{"no endpoint", `Endpoint = "engine-1"`, "", "Endpoint: must be set"},
		{"base URL without scheme", "http://127.0.0.1:9000", "127.0.0.1:9000", "BaseURL: "},
		{"no peer address", `PeerAddress = "10.0.0.5:9100"`, "", "PeerAddress: must be set"},
		{"no key-value service", `KeyValue = ["https://10.0.0.5:2379"]`, "", "KeyValue: must name at least one URL"},
		{"peer listed twice", `["10.0.0.17:8444"]`, `["10.0.0.17:1", "10.0.0.17:1"]`, "Peers: \"10.0.0.17:1\" is listed twice"},
		{"peers that do not verify each other", `CAFile = "/etc/shallotring/peers.pem"`, "", "PeerTLS: CAFile: must be set"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "agent.toml")
			if err := os.WriteFile(file, []byte(strings.Replace(string(example), tt.from, tt.to, 1)), 0o600); err != nil {
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
	got, err := loadSettings("agent.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := node.DefaultAgentSettings()
	want.Identity, want.Service, want.Endpoint, want.BaseURL = got.Identity, got.Service, got.Endpoint, got.BaseURL
	want.AdminAddress, want.PeerAddress, want.PeerTLS = got.AdminAddress, got.PeerAddress, got.PeerTLS
	if !reflect.DeepEqual(got, want) {
		t.Errorf("example: %+v\ndefaults: %+v", got, want)
	}
	text, err := os.ReadFile("agent.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []reflect.Type{reflect.TypeFor[agent.Settings](), reflect.TypeFor[node.Service]()} {
		for i := range v.NumField() {
			if f := v.Field(i); !f.Anonymous && !strings.Contains(string(text), f.Name) {
				t.Errorf("the example does not show %s", f.Name)
			}
		}
	}
}
