package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against an example file that the program refuses, and against errors that do not name file, key and reason.
func TestSettingsFiles(t *testing.T) {
	example, err := os.ReadFile("entry.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ name, from, to, want string }{
		{"example", "", "", ""},
		{"unknown key", "MaxTries", "MaxTrials", "MaxTrials: unknown key"},
		{"wrong type", "MaxTries = 3", `MaxTries = "three"`, "MaxTries"},
		{"zero", "MaxTries = 3", "MaxTries = 0", "MaxTries: must be positive"},
		{"host name as address", "0.0.0.0:8443", "localhost:8443", "Address: \"localhost\" is not an IP number"},
		{"key file missing", `KeyFile = "/etc/shallotring/entry.key"`, "", "TLS: CertFile, KeyFile: must be set together"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "entry.toml")
			text := strings.Replace(string(example), tt.from, tt.to, 1)
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := load(file)
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
