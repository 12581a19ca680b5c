package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"shallotring.dev/standin/rawserver"
	"shallotring.dev/standin/resetconn"
)

// upload runs a request with a body of a size; received is called when a part of the response has arrived.
func upload(t *testing.T, address string, service bool, size int, received func(), options ...Option) (head ResponseHead, body string, err error) {
	t.Helper()
	c, err := New("http://"+address, options...)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var text strings.Builder
	call := Call{ID: tryID, Adapter: adapterVersion, Service: service, Method: http.MethodPost, Path: "/x", Body: []byte(`{"a":"` + strings.Repeat("x", size) + `"}`)}
	head, _, err = c.Run(t.Context(), 7, call, func(_ ResponseHead, b []byte) error {
		text.Write(b)
		received()
		return nil
	})
	return head, text.String(), err
}

// unframed returns a response that ends with its connection.
func unframed(status int, contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Type: %s\r\n\r\n%s", status, contentType, body)
}

var uploadCases = []struct {
	name, contentType, body string
	service                 bool
}{
	{"bytes of a service", "text/plain", "part", true},
	{"stream of a service between two events", "text/event-stream", "data: a\n\n", true},
	{"stream of an engine after its last event", "text/event-stream", "data: {}\n\ndata: [DONE]\n\n", false},
	{"JSON of an engine after its last byte", "application/json", "{}", false},
}

// TestResetDuringUploadIsNotDone guards against a response without a length that counts as complete although the endpoint has reset the connection: the
// system reports the reset to the write of the upload alone.
func TestResetDuringUploadIsNotDone(t *testing.T) {
	dial := WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return resetconn.New(c), nil
	})
	for _, x := range uploadCases {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
			if status != http.StatusOK && !x.service {
				continue // the body of an engine's error is not read
			}
			t.Run(fmt.Sprintf("%s, %d", x.name, status), func(t *testing.T) {
				received := make(chan struct{})
				address := rawserver.Start(t, func(c net.Conn) {
					c.Read(make([]byte, 1<<10))
					io.WriteString(c, unframed(status, x.contentType, x.body))
					<-received
					c.(*net.TCPConn).SetLinger(0)
				})
				_, body, err := upload(t, address, x.service, 8<<20, sync.OnceFunc(func() { close(received) }), dial)
				if EffectOf(err) != MayHaveEffect {
					t.Errorf("body %q, effect %v, error %v; want %v", body, EffectOf(err), err, MayHaveEffect)
				}
			})
		}
	}
}

// TestEndDuringUpload guards against a successful response without a length that counts as complete although its endpoint ended the connection before it
// had received the request, as a process does that crashes; a refusal may come before.
func TestEndDuringUpload(t *testing.T) {
	end := func(t *testing.T, response string) (address string) {
		done := make(chan struct{})
		t.Cleanup(func() { close(done) })
		return rawserver.Start(t, func(c net.Conn) {
			c.(*net.TCPConn).SetReadBuffer(4 << 10)
			c.Read(make([]byte, 1<<10))
			io.WriteString(c, response)
			c.(*net.TCPConn).CloseWrite()
			<-done
		})
	}
	for _, size := range []int{300 << 10, 8 << 20} {
		for _, x := range uploadCases {
			t.Run(fmt.Sprintf("%d bytes, %s", size, x.name), func(t *testing.T) {
				_, body, err := upload(t, end(t, unframed(http.StatusOK, x.contentType, x.body)), x.service, size, func() {})
				if EffectOf(err) != MayHaveEffect {
					t.Errorf("body %q, effect %v, error %v; want %v", body, EffectOf(err), err, MayHaveEffect)
				}
			})
		}
		t.Run(fmt.Sprintf("%d bytes, refusal", size), func(t *testing.T) {
			head, body, err := upload(t, end(t, unframed(http.StatusRequestEntityTooLarge, "text/plain", "part")), true, size, func() {})
			if head.Status != http.StatusRequestEntityTooLarge || body != "part" || err != nil {
				t.Errorf("response %d %q %v", head.Status, body, err)
			}
		})
	}
}

// TestCompleteResponsesToUploads guards against a check of the end of a response that breaks complete ones: those without a length that follow the whole
// request, and those with a length that come before.
func TestCompleteResponsesToUploads(t *testing.T) {
	for _, size := range []int{0, 8 << 10, 64 << 10, 1 << 20} {
		for range 5 {
			for _, x := range uploadCases {
				_, body, err := upload(t, rawserver.Start(t, rawserver.Respond(unframed(http.StatusOK, x.contentType, x.body))), x.service, size, func() {})
				if body != x.body || err != nil {
					t.Errorf("%d bytes, %s: body %q, error %v", size, x.name, body, err)
				}
			}
			done := make(chan struct{})
			address := rawserver.Start(t, func(c net.Conn) {
				c.Read(make([]byte, 1<<10))
				io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\ndone")
				<-done
			})
			head, body, err := upload(t, address, true, size, func() {})
			close(done)
			if head.Status != http.StatusRequestEntityTooLarge || body != "done" || err != nil {
				t.Errorf("%d bytes: early response %d %q %v", size, head.Status, body, err)
			}
		}
	}
}
