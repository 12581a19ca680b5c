package keyvalue_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/keyvalue/gateway"
	"shallotring.dev/standin/rawserver"
	"shallotring.dev/standin/resetconn"
)

// swapValue writes a value of a size to a service and returns what the client says of it.
func swapValue(t *testing.T, address string, size int, options ...keyvalue.Option) (swapped bool, err error) {
	t.Helper()
	client, err := keyvalue.New([]string{"http://" + address}, options...)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	_, swapped, err = client.CompareAndSwap(t.Context(), keyvalue.Swap{Key: "k", Value: make([]byte, size)})
	return swapped, err
}

// TestEndDuringWriteProvesNothing guards against a write that counts as made because of a response that the service ended with its connection before it
// had received the value.
func TestEndDuringWriteProvesNothing(t *testing.T) {
	for _, size := range []int{300 << 10, 8 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			done := make(chan struct{})
			defer close(done)
			address := rawserver.Start(t, func(c net.Conn) {
				c.(*net.TCPConn).SetReadBuffer(4 << 10)
				c.Read(make([]byte, 1<<10))
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+`{"succeeded":true}`)
				c.(*net.TCPConn).CloseWrite()
				<-done
			})
			if swapped, err := swapValue(t, address, size); swapped || !eris.Is(err, keyvalue.ErrOutcomeUnknown) {
				t.Errorf("swapped %t, error %v, want %v", swapped, err, keyvalue.ErrOutcomeUnknown)
			}
		})
	}
}

// TestResetDuringWriteProvesNothing guards against a write that counts as made, or as refused, because of a response on a connection that the service has reset
// while it was getting the value: the system reports the reset to the write of the request alone.
func TestResetDuringWriteProvesNothing(t *testing.T) {
	for status, body := range map[int]string{
		http.StatusOK:         `{"succeeded":true}`,
		http.StatusBadRequest: fmt.Sprintf(`{"code":%d,"message":"refused"}`, gateway.CodeInvalidArgument),
	} {
		address := rawserver.Start(t, func(c net.Conn) {
			c.Read(make([]byte, 1<<10))
			io.WriteString(c, fmt.Sprintf("HTTP/1.1 %d Status\r\n\r\n%s", status, body))
			// The reset comes with unread data.
		})
		transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return resetconn.New(c), nil
		}}
		if swapped, err := swapValue(t, address, 8<<20, keyvalue.WithTransport(transport)); swapped || !eris.Is(err, keyvalue.ErrOutcomeUnknown) {
			t.Errorf("status %d: swapped %t, error %v, want %v", status, swapped, err, keyvalue.ErrOutcomeUnknown)
		}
	}
}

// TestTruncatedResponseProvesNothing guards against a response that ends before its length and that counts because its JSON happens to be whole.
func TestTruncatedResponseProvesNothing(t *testing.T) {
	for status, body := range map[int]string{
		http.StatusOK:         `{"succeeded":true}`,
		http.StatusBadRequest: fmt.Sprintf(`{"code":%d,"message":"refused"}`, gateway.CodeInvalidArgument),
	} {
		address := rawserver.Start(t, rawserver.Respond(fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body)+10, body)))
		if swapped, err := swapValue(t, address, 10); swapped || !eris.Is(err, keyvalue.ErrOutcomeUnknown) {
			t.Errorf("status %d: swapped %t, error %v, want %v", status, swapped, err, keyvalue.ErrOutcomeUnknown)
		}
	}
}

// TestUnframedResponseToAWrite guards against a check of the end of a response that breaks those that follow the whole request.
func TestUnframedResponseToAWrite(t *testing.T) {
	for _, size := range []int{0, 64 << 10, 1 << 20} {
		for range 10 {
			address := rawserver.Start(t, rawserver.Respond("HTTP/1.1 200 OK\r\n\r\n"+`{"succeeded":true}`+"\n"))
			if swapped, err := swapValue(t, address, size); !swapped || err != nil {
				t.Errorf("%d bytes: swapped %t, error %v", size, swapped, err)
			}
		}
	}
}
