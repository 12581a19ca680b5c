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

// server answers each connection's requests with the given raw answers in turn; an empty answer closes the connection.
func server(t *testing.T, answers ...string) (address string, accepted chan net.Conn) {
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
				for _, a := range answers {
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
	a, err := p.Do(context.Background(), Request{Method: "GET", Target: "/a?b=%2f", Host: "x.example"})
	if err != nil {
		return 0, "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a.Body)
	return a.Status, string(b), err
}

const okay = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestReuse guards against a new connection for each request, and against reuse of one that must not be used again.
func TestReuse(t *testing.T) {
	for _, x := range []struct {
		name   string
		answer string
		conns  int
	}{
		{"kept", okay, 1},
		{"close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		{"additional answer", okay + okay, 2},
		{"idle timeout below the margin", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 2},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			address, accepted := server(t, x.answer, x.answer)
			p := New(address)
			for range 2 {
				if status, body, err := send(t, p); status != 200 || body != "ok" || err != nil {
					t.Fatalf("answer = %d %q %v", status, body, err)
				}
				// The additional bytes must have arrived before the next request.
				time.Sleep(20 * time.Millisecond)
			}
			if len(accepted) != x.conns {
				t.Errorf("%d connections, want %d", len(accepted), x.conns)
			}
		})
	}
}

// TestNoRepeat guards against a silent repeat of a request whose connection breaks: it may have run.
func TestNoRepeat(t *testing.T) {
	address, accepted := server(t, okay, "")
	p := New(address)
	if _, _, err := send(t, p); err != nil {
		t.Fatal(err)
	}
	_, _, err := send(t, p)
	if err == nil || Unsent(err) {
		t.Errorf("error = %v, want one that says that the request was sent", err)
	}
	if len(accepted) != 1 {
		t.Errorf("%d connections, want 1", len(accepted))
	}
}

// TestUnsent guards against a refusal that is reported as a request that may have run, and the reverse.
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
	address, _ = server(t, okay)
	p := New(address, WithLimit(1))
	a, err := p.Do(context.Background(), Request{Method: "GET", Target: "/", Host: "x"})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if _, _, err = send(t, p); !errors.Is(err, ErrFull) || !Unsent(err) {
		t.Errorf("full pool: %v, want ErrFull and an unsent request", err)
	}
}

// TestIncompleteAnswer guards against a truncated answer that looks complete.
func TestIncompleteAnswer(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		address, _ := server(t, answer)
		if _, _, err := send(t, New(address)); err == nil {
			t.Errorf("%q reads as complete", answer)
		}
	}
}

// TestCancelClosesConnection guards against work that goes on at an endpoint after its caller has left.
func TestCancelClosesConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closed := make(chan error, 1)
	began := make(chan bool)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		http.ReadRequest(r)
		close(began)
		_, err = r.ReadByte()
		if errors.Is(err, io.EOF) {
			err = nil
		}
		closed <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-began; cancel() }()
	if _, err = New(l.Addr().String()).Do(ctx, Request{Method: "GET", Target: "/", Host: "x"}); err == nil {
		t.Error("no error after the cancellation")
	}
	select {
	case err := <-closed:
		if err == nil {
			t.Error("the connection ends in order; a reset drops the bytes that a cut holds up")
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection stays open")
	}
}

// TestEarlyAnswer guards against a body that blocks the reading of an answer that comes first, and against reuse of the
// connection, on which the rest of the body would be taken for a request.
func TestEarlyAnswer(t *testing.T) {
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
			io.WriteString(c, okay)
		}
	}()
	p := New(l.Addr().String())
	body := []byte(strings.Repeat("x", 32<<20))
	a, err := p.Do(context.Background(), Request{Method: "POST", Target: "/", Host: "x", Body: body, HasBody: true})
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, a.Body)
	a.Close()
	if open, _ := p.Open(); open != 0 {
		t.Errorf("%d connections are kept, want 0", open)
	}
}

// TestRequestBytes guards against changes of the target or the headers on the way.
func TestRequestBytes(t *testing.T) {
	got := string(encode(Request{Method: "POST", Target: "/a//b/../%2F?x=%20&", Host: "h", Header: http.Header{"A-B": {"1", "2"}}, Body: []byte("xy"), HasBody: true}))
	want := "POST /a//b/../%2F?x=%20& HTTP/1.1\r\nHost: h\r\nA-B: 1\r\nA-B: 2\r\nContent-Length: 2\r\n\r\n"
	if got != want {
		t.Errorf("head = %q, want %q", got, want)
	}
}
