package agent

import (
	"strings"
	"testing"

	"shallotring.dev/transport/settings"
)

const validSettings = `Host = "h"
Zone = "z"
Endpoint = "e"
BaseURL = "http://127.0.0.1:1"
PeerAddress = "127.0.0.1:2"
AdminAddress = "127.0.0.1:3"
`

// TestSettingsErrorsNameTheKey guards against an agent that starts with wrong settings, and an error that does not name the key.
func TestSettingsErrorsNameTheKey(t *testing.T) {
	tests := []struct{ name, old, with, want string }{
		{"valid", "", "", ""},
		{"unknown key", `Zone = "z"`, "Zone = \"z\"\nZones = 1", "Zones: unknown key"},
		{"no host", `Host = "h"`, "", "Host: must be set"},
		{"no endpoint", `Endpoint = "e"`, "", "Endpoint: must be set"},
		{"base URL without scheme", "http://127.0.0.1:1", "127.0.0.1:1", "BaseURL: "},
		{"peer address with a host name", "127.0.0.1:2", "localhost:2", "PeerAddress: "},
		{"admin address without a port", "127.0.0.1:3", "127.0.0.1", "AdminAddress: "},
		{"memory for less than one body", `Zone = "z"`, "Zone = \"z\"\nBodyBytesTotal = 1000", "BodyBytesTotal: 1000 is not between"},
		{"no connections", `Zone = "z"`, "Zone = \"z\"\nConnections = 0", "Connections: 0 is not between"},
		{"no admin port", `AdminAddress = "127.0.0.1:3"`, "", "AdminAddress: must be set"},
		{"two listeners with one address", "127.0.0.1:3", "127.0.0.1:2", `AdminAddress: "127.0.0.1:2" is the address of PeerAddress`},
		{"off loopback without TLS keys", "127.0.0.1:2", "10.0.0.1:2", `PeerAddress: "10.0.0.1:2" is not on loopback and has no TLS keys`},
		{"advertised without a port", `Zone = "z"`, "Zone = \"z\"\nPeerAdvertise = \"10.0.0.1:0\"", "PeerAdvertise: "},
		{"key without certificate", `AdminAddress = "127.0.0.1:3"`, "AdminAddress = \"127.0.0.1:3\"\n[PeerTLS]\nKeyFile = \"k\"",
			"PeerTLS: CertFile, KeyFile"},
		{"peers that do not verify each other", `AdminAddress = "127.0.0.1:3"`,
			"AdminAddress = \"127.0.0.1:3\"\n[PeerTLS]\nCertFile = \"c\"\nKeyFile = \"k\"", "PeerTLS: CAFile: must be set"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := DefaultSettings()
			err := settings.Parse(strings.Replace(validSettings, tt.old, tt.with, 1), &s)
			if tt.want == "" && err != nil {
				t.Fatal(err)
			}
			if tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}
