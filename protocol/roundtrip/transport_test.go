package roundtrip

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"shallotring.dev/standin/rawserver"
	"shallotring.dev/standin/resetconn"
)

// post sends a request with a body of a size to a server and returns the response and the error of reading it. After the first part of the response has been
// read it calls received.
func post(t *testing.T, base *http.Transport, address string, size int, received func()) (body string, err error) {
	t.Helper()
	client := &http.Client{Transport: New(base)}
	defer client.CloseIdleConnections()
	response, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	b := make([]byte, 4)
	if _, err = io.ReadFull(response.Body, b); err != nil {
		return "", err
	}
	received()
	rest, err := io.ReadAll(response.Body)
	return string(b) + string(rest), err
}

const unframedResponse = "HTTP/1.1 200 OK\r\n\r\npart"

// TestEndDuringUpload guards against an unframed response that looks complete although its connection ended while the request was being written, on a
// connection that knows nothing of how it ended.
func TestEndDuringUpload(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	orderly := rawserver.Start(t, func(c net.Conn) {
		c.Read(make([]byte, 1<<10))
		io.WriteString(c, unframedResponse)
		c.(*net.TCPConn).CloseWrite()
		<-done
	})
	if body, err := post(t, &http.Transport{}, orderly, 8<<20, func() {}); err == nil {
		t.Errorf("orderly end: body %q", body)
	}
	received := make(chan struct{})
	reset := rawserver.Start(t, func(c net.Conn) {
		c.Read(make([]byte, 1<<10))
		io.WriteString(c, unframedResponse)
		<-received
		c.(*net.TCPConn).SetLinger(0)
	})
	base := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return resetconn.New(c), nil
	}}
	if body, err := post(t, base, reset, 8<<20, func() { close(received) }); err == nil {
		t.Errorf("reset: body %q", body)
	}
}

// TestRepeatedRequest guards against a check that takes the write on a connection that failed for that on the next one: net/http repeats a request whose kept
// connection turns out to be closed.
func TestRepeatedRequest(t *testing.T) {
	var connections atomic.Int32
	address := rawserver.Start(t, func(c net.Conn) {
		if connections.Add(1) == 1 {
			c.Read(make([]byte, 4<<10))
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nkept")
			c.Read(make([]byte, 4<<10))
			return
		}
		rawserver.Respond(unframedResponse)(c)
	})
	client := &http.Client{Transport: New(&http.Transport{})}
	defer client.CloseIdleConnections()
	for _, want := range []string{"kept", "part"} {
		response, err := client.Get("http://" + address)
		if err != nil {
			t.Fatal(err)
		}
		if b, err := io.ReadAll(response.Body); string(b) != want || err != nil {
			t.Errorf("body %q, error %v, want %q", b, err, want)
		}
		response.Body.Close()
	}
	if n := connections.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// TestCancelledRead guards against a body whose read hangs or ends well after the request has been cancelled.
func TestCancelledRead(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	address := rawserver.Start(t, func(c net.Conn) {
		c.Read(make([]byte, 4<<10))
		io.WriteString(c, unframedResponse)
		<-done
	})
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: New(&http.Transport{})}
	response, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	cancel()
	if _, err = io.ReadAll(response.Body); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want %v", err, context.Canceled)
	}
}
