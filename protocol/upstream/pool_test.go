package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startServer starts a server that sends the given raw responses in turn on each connection; an empty response closes the
// connection.
func startServer(t *testing.T, responses ...string) (address string, accepted chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	accepted = make(chan net.Conn, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for _, a := range responses {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					if a == "" {
						return
					}
					io.WriteString(c, a)
				}
			}()
		}
	}()
	return l.Addr().String(), accepted
}

func send(t *testing.T, p *Pool) (status int, body string, err error) {
	t.Helper()
	response, err := p.Do(context.Background(), Request{Method: "GET", Target: "/a?b=%2f", Host: "x.example"})
	if err != nil {
		return 0, "", err
	}
	defer response.Close()
	b, err := io.ReadAll(response.Body)
	return response.Status, string(b), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestConnectionReuse guards against opening a connection for each request, and against reusing one that the server closes or
// that has unread data.
func TestConnectionReuse(t *testing.T) {
	for _, x := range []struct {
		name            string
		response        string
		wantConnections int
	}{
		{"complete response", okResponse, 1},
		{"response with Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		{"unread second response", okResponse + okResponse, 2},
		{"server's idle timeout below the margin", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 2},
		{"complete chunked response", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			address, accepted := startServer(t, x.response, x.response)
			p := New(address)
			for range 2 {
				if status, body, err := send(t, p); status != 200 || body != "ok" || err != nil {
					t.Fatalf("response = %d %q %v", status, body, err)
				}
				// The bytes of a second response must have arrived before the next request.
				time.Sleep(20 * time.Millisecond)
			}
			if len(accepted) != x.wantConnections {
				t.Errorf("%d connections, want %d", len(accepted), x.wantConnections)
			}
		})
	}
}

// TestNoRetryOnClosedConnection guards against retrying a request whose connection the server closes: the request may have run.
func TestNoRetryOnClosedConnection(t *testing.T) {
	address, accepted := startServer(t, okResponse, "")
	p := New(address)
	if _, _, err := send(t, p); err != nil {
		t.Fatal(err)
	}
	_, _, err := send(t, p)
	if err == nil || Unsent(err) {
		t.Errorf("error = %v, want one for a request that was sent", err)
	}
	if len(accepted) != 1 {
		t.Errorf("%d connections, want 1", len(accepted))
	}
}

// TestUnsent guards against reporting that a request may have run although the connection was refused or the pool was full.
func TestUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	if _, _, err = send(t, New(address)); !Unsent(err) {
		t.Errorf("refused connection: %v, want an unsent request", err)
	}
	address, _ = startServer(t, okResponse)
	p := New(address, WithLimit(1))
	a, err := p.Do(context.Background(), Request{Method: "GET", Target: "/", Host: "x"})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if _, _, err = send(t, p); !errors.Is(err, ErrPoolFull) || !Unsent(err) {
		t.Errorf("full pool: %v, want ErrPoolFull and an unsent request", err)
	}
}

// TestTruncatedResponse guards against a truncated response that is read without an error.
func TestTruncatedResponse(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		address, _ := startServer(t, response)
		if _, _, err := send(t, New(address)); err == nil {
			t.Errorf("%q is read as a complete response", response)
		}
	}
}

// TestCancelClosesConnection guards against an endpoint that continues to run a request after its caller has cancelled it.
func TestCancelClosesConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closed := make(chan error, 1)
	requestRead := make(chan bool)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		http.ReadRequest(r)
		close(requestRead)
		_, err = r.ReadByte()
		if errors.Is(err, io.EOF) {
			err = nil
		}
		closed <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-requestRead; cancel() }()
	if _, err = New(l.Addr().String()).Do(ctx, Request{Method: "GET", Target: "/", Host: "x"}); err == nil {
		t.Error("no error after the cancellation")
	}
	select {
	case err := <-closed:
		if err == nil {
			t.Error("the connection was closed without a reset; only a reset drops data that a network partition delays")
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection is still open after the cancellation")
	}
}

// TestResponseBeforeBodyIsRead guards against a request body that blocks reading a response that the server sends first, and
// against reusing the connection, on which the server would take the rest of the body for a request.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			io.WriteString(c, okResponse)
		}
	}()
	p := New(l.Addr().String())
	// The body is larger than the buffers of the sockets, so that writing it blocks.
	body := []byte(strings.Repeat("x", 32<<20))
	a, err := p.Do(context.Background(), Request{Method: "POST", Target: "/", Host: "x", Body: body, HasBody: true})
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, a.Body)
	a.Close()
	if open, _ := p.ConnectionCounts(); open != 0 {
		t.Errorf("%d connections are open, want 0", open)
	}
}

// TestRequestBytes guards against sending a target or headers that differ from those of the request.
func TestRequestBytes(t *testing.T) {
	got := string(encodeHead(Request{Method: "POST", Target: "/a//b/../%2F?x=%20&", Host: "h", Header: http.Header{"A-B": {"1", "2"}}, Body: []byte("xy"), HasBody: true}))
	want := "POST /a//b/../%2F?x=%20& HTTP/1.1\r\nHost: h\r\nA-B: 1\r\nA-B: 2\r\nContent-Length: 2\r\n\r\n"
	if got != want {
		t.Errorf("head = %q, want %q", got, want)
	}
}
