package main

import (
	"testing"

	"shallotring.dev/daemon/agent"
	"shallotring.dev/transport/settings"
)

// Guards against an example file that the program refuses.
func TestExampleSettings(t *testing.T) {
	if err := settings.Load("agent.example.toml", &agent.Settings{}); err != nil {
		t.Error(err)
	}
}
