package keyvalue_test

import (
	"fmt"
	"testing"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/keyvalue/gateway"
	"shallotring.dev/standin/rawserver"
)

// TestInvalidStatusProvesNothing guards against a response whose status is none of HTTP and that counts as the service's word that it has refused a
// write or that a lease has expired.
func TestInvalidStatusProvesNothing(t *testing.T) {
	for _, status := range []string{"000", "042", "+20", "101"} {
		for _, code := range []int{gateway.CodeNotFound, gateway.CodeInvalidArgument} {
			body := fmt.Sprintf(`{"code":%d,"message":"lease not found"}`, code)
			address := rawserver.Start(t, rawserver.Respond(fmt.Sprintf("HTTP/1.1 %s Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)))
			client, err := keyvalue.New([]string{"http://" + address})
			if err != nil {
				t.Fatal(err)
			}
			if err = client.KeepAlive(t.Context(), 1); !eris.Is(err, keyvalue.ErrOutcomeUnknown) {
				t.Errorf("status %s, code %d: error %v, want %v", status, code, err, keyvalue.ErrOutcomeUnknown)
			}
			client.Close()
		}
	}
}
