package keyvalue_test

import (
	"testing"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/standin/rawserver"
	"shallotring.dev/state/ident"
)

// TestInvalidFieldNameProvesNothing guards against a write or a change that counts as made because of a response whose head HTTP does not allow.
func TestInvalidFieldNameProvesNothing(t *testing.T) {
	for _, line := range []string{"X Y: v", "X : v", "Content-Length : 9", "X\x01: v"} {
		client, err := keyvalue.New([]string{"http://" + rawserver.Start(t, rawserver.Respond("HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n"+`{"succeeded":true,"result":{"events":[]}}`))})
		if err != nil {
			t.Fatal(err)
		}
		if _, swapped, err := client.CompareAndSwap(t.Context(), keyvalue.Swap{Key: "k"}); swapped || !eris.Is(err, keyvalue.ErrOutcomeUnknown) {
			t.Errorf("line %q: swapped %t, error %v, want %v", line, swapped, err, keyvalue.ErrOutcomeUnknown)
		}
		err = client.Watch(t.Context(), "k", 0, func([]keyvalue.Change, ident.Revision) error {
			t.Errorf("line %q: a watch reports a change", line)
			return nil
		})
		if !eris.Is(err, keyvalue.ErrUnavailable) {
			t.Errorf("line %q: watch ended with %v, want %v", line, err, keyvalue.ErrUnavailable)
		}
		client.Close()
	}
}
