package agent

import (
	"strings"
	"testing"

	"shallotring.dev/transport/settings"
)

const goodSettings = `Host = "h"
Zone = "z"
Endpoint = "e"
BaseURL = "http://127.0.0.1:1"
Listen = "127.0.0.1:2"
Admin = "127.0.0.1:3"
`

// Guards against a wrong settings file that starts an agent, and an error that does not name the key.
func TestSettingsErrorsNameTheKey(t *testing.T) {
	tests := []struct{ name, old, with, want string }{
		{"good", "", "", ""},
		{"unknown key", `Zone = "z"`, "Zone = \"z\"\nZones = 1", "Zones: unknown key"},
		{"no host", `Host = "h"`, "", "Host: must be set"},
		{"no endpoint", `Endpoint = "e"`, "", "Endpoint: must be set"},
		{"base URL", "http://127.0.0.1:1", "127.0.0.1:1", "BaseURL: "},
		{"listen by name", "127.0.0.1:2", "localhost:2", "Listen: "},
		{"admin port", "127.0.0.1:3", "127.0.0.1", "Admin: "},
		{"key without certificate", `Admin = "127.0.0.1:3"`, "Admin = \"127.0.0.1:3\"\n[TLS]\nKeyFile = \"k\"", "TLS: CertFile, KeyFile"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := settings.Parse(strings.Replace(goodSettings, tt.old, tt.with, 1), &Settings{})
			if tt.want == "" && err != nil {
				t.Fatal(err)
			}
			if tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}
