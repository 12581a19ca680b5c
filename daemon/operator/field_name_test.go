package operator

import (
	"testing"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/standin/rawserver"
)

// TestInvalidFieldNameIsNoState guards against the state of a process in a response whose head HTTP does not allow.
func TestInvalidFieldNameIsNoState(t *testing.T) {
	client, closeClient, err := (&session{commands: &commands{}}).processClient()
	if err != nil {
		t.Fatal(err)
	}
	defer closeClient()
	for _, line := range []string{"X Y: v", "X : v", "Content-Length : 0", "X\x01: v"} {
		address := rawserver.Start(t, rawserver.Respond("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"+line+"\r\n\r\n"))
		for _, role := range []registry.Role{registry.RoleEntry, registry.RoleAgent} {
			if r, err := client.inForce(t.Context(), registry.ProcessRecord{Role: role, Address: address}); err == nil {
				t.Errorf("line %q: %s says %v", line, role, r)
			}
		}
	}
}
