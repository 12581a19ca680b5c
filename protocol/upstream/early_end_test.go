package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"shallotring.dev/standin/rawserver"
	"shallotring.dev/standin/resetconn"
)

// unframed returns a response that ends with its connection.
func unframed(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Type: text/plain\r\n\r\n%s", status, body)
}

// upload sends a request with a body of a size and returns the response and the error of reading it; received is closed when a part of the response has
// been read.
func upload(t *testing.T, p *Pool, size int, received chan<- struct{}) (status int, body string, err error) {
	t.Helper()
	defer p.Close()
	response, err := p.Do(t.Context(), Request{Method: http.MethodPost, Target: "/", Host: "x", Body: make([]byte, size), HasBody: true})
	if err != nil {
		return 0, "", err
	}
	defer response.Close()
	b := make([]byte, 4)
	if _, err = io.ReadFull(response.Body, b); err != nil {
		return response.Status, "", err
	}
	if received != nil {
		close(received)
	}
	rest, err := io.ReadAll(response.Body)
	return response.Status, string(b) + string(rest), err
}

// TestResetDuringUploadIsNoEnd guards against a response without a length that looks complete although the server has reset the connection: the system
// reports the reset to the write of the upload alone.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		received := make(chan struct{})
		p := New(rawserver.Start(t, func(c net.Conn) {
			c.Read(make([]byte, 1<<10))
			io.WriteString(c, unframed(status, "part"))
			<-received
			c.(*net.TCPConn).SetLinger(0)
		}))
		dial := p.dial
		p.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return resetconn.New(c), nil
		}
		if got, body, err := upload(t, p, 8<<20, received); got != status || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("response %d %q, error %v, want %d and %v", got, body, err, status, syscall.ECONNRESET)
		}
	}
}

// TestEndDuringUpload guards against a successful response without a length that looks complete although its server ended the connection before it had
// received the request, as a process does that crashes; a refusal may come before.
func TestEndDuringUpload(t *testing.T) {
	for _, size := range []int{300 << 10, 8 << 20} {
		for status, complete := range map[int]bool{http.StatusOK: false, http.StatusRequestEntityTooLarge: true} {
			t.Run(fmt.Sprintf("%d bytes, %d", size, status), func(t *testing.T) {
				done := make(chan struct{})
				address := rawserver.Start(t, func(c net.Conn) {
					c.(*net.TCPConn).SetReadBuffer(4 << 10)
					c.Read(make([]byte, 1<<10))
					io.WriteString(c, unframed(status, "part"))
					c.(*net.TCPConn).CloseWrite()
					<-done
				})
				got, body, err := upload(t, New(address), size, nil)
				close(done)
				if got != status || (err == nil) != complete || complete && body != "part" {
					t.Errorf("response %d %q, error %v, want %d, a complete response: %t", got, body, err, status, complete)
				}
			})
		}
	}
}

// TestResponseBeforeTheRequestIsNoEnd guards against a response without a length that looks complete although no byte of the request could be written.
func TestResponseBeforeTheRequestIsNoEnd(t *testing.T) {
	closed := make(chan struct{})
	p := New(rawserver.Start(t, func(c net.Conn) {
		io.WriteString(c, unframed(http.StatusOK, "part"))
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		close(closed)
	}))
	dial := p.dial
	p.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		<-closed
		return c, err
	}
	if status, body, err := upload(t, p, 10, nil); err == nil {
		t.Errorf("response %d %q", status, body)
	}
}

// TestCompleteResponsesToUploads guards against a check of the end of a response that breaks complete ones: those without a length that follow the whole
// request, and those with a length that come before.
func TestCompleteResponsesToUploads(t *testing.T) {
	for _, size := range []int{0, 8 << 10, 64 << 10, 1 << 20} {
		for range 20 {
			address := rawserver.Start(t, rawserver.Respond(unframed(http.StatusOK, "done")))
			if status, body, err := upload(t, New(address), size, nil); status != http.StatusOK || body != "done" || err != nil {
				t.Errorf("%d bytes: response %d %q %v", size, status, body, err)
			}
			done := make(chan struct{})
			address = rawserver.Start(t, func(c net.Conn) {
				c.Read(make([]byte, 1<<10))
				io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\ndone")
				<-done
			})
			status, body, err := upload(t, New(address), size, nil)
			close(done)
			if status != http.StatusRequestEntityTooLarge || body != "done" || err != nil {
				t.Errorf("%d bytes: early response %d %q %v", size, status, body, err)
			}
		}
	}
}
