package server

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"shallotring.dev/transport/server/servertest"
	"shallotring.dev/transport/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout ends a test that would otherwise wait for ever; no result depends on its length.
const testTimeout = 20 * time.Second

func startServer(t *testing.T, h http.HandlerFunc, options ...Option) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", h, options...)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s
}

func okHandler(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}
}

// dialAndSend opens a connection and sends the text, which may be only a part of a request.
func dialAndSend(t *testing.T, s *Server, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err = io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// readStatus reads one response; zero means that the connection was closed without one.
func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		var timeout net.Error
		if asNetError(err, &timeout) && timeout.Timeout() {
			t.Error("neither a response nor the end of the connection")
		}
		return 0
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode
}

func asNetError(err error, target *net.Error) (ok bool) {
	*target, ok = err.(net.Error) //nolint:errorlint // ReadResponse returns the error of the connection itself
	return ok
}

const getRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// TestLimits guards against peers that occupy memory or connections with headers or bodies that are too large, arrive too slowly
// or never end.
func TestLimits(t *testing.T) {
	l := DefaultLimits()
	l.HeaderBytes, l.BodyBytes, l.HeaderTimeout, l.BodyTimeout = 1024, 100, 50*time.Millisecond, 100*time.Millisecond
	s := startServer(t, okHandler, WithLimits(l))
	for _, tt := range []struct {
		name, text string
		want       int
	}{
		{"within the limits", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody", 200},
		{"header over the limit", "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", 431},
		{"body over the limit", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101), 413},
		{"body without end", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10\r\n0123456789abcdef\r\n", 8), 413},
		{"slow body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nx", 413},
		{"slow header", "GET / HTTP/1.1\r\nHost:", 0},
		{"nothing sent", "", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := readStatus(t, dialAndSend(t, s, tt.text)); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// TestSlowReader guards against a peer that does not read its response and so blocks a handler for ever.
func TestSlowReader(t *testing.T) {
	l := DefaultLimits()
	l.WriteTimeout = 50 * time.Millisecond
	ended := make(chan error, 1)
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		part := bytes.Repeat([]byte("x"), 64<<10)
		for {
			if _, err := w.Write(part); err != nil {
				ended <- err
				return
			}
		}
	}, WithLimits(l))
	dialAndSend(t, s, getRequest)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("the handler still writes")
	}
}

// TestBodyTimeoutDoesNotLimitHandler guards against a BodyTimeout that also cancels requests whose handler runs longer, with and
// without a body. net/http removes the read deadline once the body is read; agents and entries rely on it.
func TestBodyTimeoutDoesNotLimitHandler(t *testing.T) {
	l := DefaultLimits()
	l.HeaderTimeout, l.BodyTimeout = 30*time.Millisecond, 30*time.Millisecond
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusTeapot)
		case <-time.After(10 * l.BodyTimeout):
		}
	}, WithLimits(l))
	for _, text := range []string{getRequest, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"} {
		if got := readStatus(t, dialAndSend(t, s, text)); got != http.StatusOK {
			t.Errorf("got %d", got)
		}
	}
}

// TestConnectionLimit guards against more open connections than the limit, and against idle connections that keep new ones out.
func TestConnectionLimit(t *testing.T) {
	const limit = 3
	l := DefaultLimits()
	l.Connections = limit
	busy, release := make(chan struct{}, 10), make(chan struct{})
	s := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			busy <- struct{}{}
			<-release
		}
	}, WithLimits(l))
	idle := make([]net.Conn, limit)
	for i := range idle {
		idle[i] = dialAndSend(t, s, getRequest)
		if got := readStatus(t, idle[i]); got != http.StatusOK {
			t.Fatalf("got %d", got)
		}
	}
	const text = "GET /busy HTTP/1.1\r\nHost: x\r\n\r\n"
	var busyConns []net.Conn
	for range limit {
		busyConns = append(busyConns, dialAndSend(t, s, text))
		<-busy // although idle connections take all slots
	}
	if got := readStatus(t, idle[0]); got != 0 {
		t.Errorf("idle connection: got %d", got)
	}
	late := dialAndSend(t, s, text)
	select {
	case <-busy:
		t.Error("more connections than the limit are served")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	for _, c := range append(busyConns, late) {
		if got := readStatus(t, c); got != http.StatusOK {
			t.Errorf("got %d", got)
		}
	}
}

// TestListenOffLoopback guards against a listener without TLS that other hosts can reach, unless AllowInsecure permits it.
func TestListenOffLoopback(t *testing.T) {
	keys := servertest.NewAuthority(t).Keys("server")
	for _, tt := range []struct {
		address string
		options []Option
		refused bool
	}{
		{"127.0.0.1:0", nil, false},
		{"[::1]:0", nil, false},
		{"0.0.0.0:0", nil, true},
		{"[::]:0", nil, true},
		{":0", nil, true},
		{"localhost:0", nil, true},
		{"0.0.0.0:0", []Option{AllowInsecure(true)}, false},
		{"0.0.0.0:0", []Option{WithTLS(keys)}, false},
		{"127.0.0.1:0", []Option{WithTLS(settings.TLS{CertFile: keys.CertFile, KeyFile: keys.CAFile})}, true},
	} {
		s, err := Listen(tt.address, http.NotFoundHandler(), tt.options...)
		if (err != nil) != tt.refused {
			t.Errorf("%s: %v", tt.address, err)
		}
		if err != nil {
			if !strings.Contains(err.Error(), tt.address) {
				t.Errorf("the error does not name %s: %v", tt.address, err)
			}
			continue
		}
		// Serve returns at once after Close and closes the listener with it.
		s.Close()
		_ = s.Serve()
		_ = s.listener.Close()
	}
}

func newClient(t *testing.T, keys settings.TLS) *http.Client {
	t.Helper()
	dial, err := DialTLS(keys, (&net.Dialer{}).DialContext)
	if err != nil {
		t.Fatal(err)
	}
	tr := &http.Transport{DialTLSContext: dial}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: testTimeout}
}

// serverName sends a request and returns the name in the certificate of the server.
func serverName(c *http.Client, s *Server) (name string, err error) {
	a, err := c.Get("https://" + s.Addr())
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return a.TLS.PeerCertificates[0].Subject.CommonName, err
}

// TestMutualTLS guards against serving a client, or trusting a server, that has no certificate of the CA.
func TestMutualTLS(t *testing.T) {
	own, other := servertest.NewAuthority(t), servertest.NewAuthority(t)
	s := startServer(t, okHandler, WithTLS(own.Keys("server")))
	untrusted := other.Keys("foreign")
	untrusted.CAFile = own.File
	for _, tt := range []struct {
		name   string
		keys   settings.TLS
		served bool
	}{
		{"certificate of the CA", own.Keys("client"), true},
		{"no certificate", settings.TLS{CAFile: own.File}, false},
		{"certificate of another CA", untrusted, false},
		{"server of an unknown CA", settings.TLS{CertFile: own.Keys("c").CertFile, KeyFile: own.Keys("c").KeyFile, CAFile: other.File}, false},
	} {
		if _, err := serverName(newClient(t, tt.keys), s); (err == nil) != tt.served {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
	if got := readStatus(t, dialAndSend(t, s, getRequest)); got == http.StatusOK {
		t.Error("served without TLS")
	}
	plain := startServer(t, okHandler, WithTLS(settings.TLS{CertFile: own.Keys("public").CertFile, KeyFile: own.Keys("public").KeyFile}))
	if name, err := serverName(newClient(t, settings.TLS{CAFile: own.File}), plain); err != nil || name != "public" {
		t.Errorf("listener without client certificates: %s, %v", name, err)
	}
}

// TestTLSFilesAreReloaded guards against a change of the key, certificate or CA file that needs a restart, interrupts a stream or
// is used before both files of a pair are replaced.
func TestTLSFilesAreReloaded(t *testing.T) {
	first, second := servertest.NewAuthority(t), servertest.NewAuthority(t)
	keys, clientKeys := first.Keys("old"), first.Keys("client")
	next := make(chan string)
	var log lockedBuffer
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/stream" {
			return
		}
		for text := range next {
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
		}
	}, WithTLS(keys), WithLog(slog.New(slog.NewJSONHandler(&log, nil))))
	c := newClient(t, clientKeys)
	go func() { next <- "a" }()
	stream, err := c.Get("https://" + s.Addr() + "/stream")
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Body.Close()
	expect := func(want string) {
		t.Helper()
		got := make([]byte, 1)
		if _, err := io.ReadFull(stream.Body, got); err != nil || string(got) != want {
			t.Fatalf("stream: %q, %v, want %q", got, err, want)
		}
	}
	expect("a")

	replacement := second.Keys("new")
	copyFile(t, replacement.CertFile, keys.CertFile)
	c.CloseIdleConnections()
	if name, err := serverName(c, s); err != nil || name != "old" {
		t.Errorf("while only one file is replaced: %s, %v", name, err)
	}
	if n := strings.Count(log.String(), "changed TLS files cannot be used"); n != 1 {
		t.Errorf("%d log lines report that the changed files cannot be used, want 1", n)
	}
	copyFile(t, replacement.KeyFile, keys.KeyFile)
	copyFile(t, second.File, keys.CAFile) // the client reads the same file
	if _, err := serverName(newClient(t, settings.TLS{CAFile: second.File}), s); err == nil {
		t.Error("served without a certificate after the change")
	}
	if name, err := serverName(newClient(t, second.Keys("fresh")), s); err != nil || name != "new" {
		t.Errorf("new connection: %s, %v", name, err)
	}
	pair := second.Keys("c4")
	copyFile(t, pair.CertFile, clientKeys.CertFile)
	copyFile(t, pair.KeyFile, clientKeys.KeyFile)
	c.CloseIdleConnections()
	if name, err := serverName(c, s); err != nil || name != "new" {
		t.Errorf("client with replaced keys: %s, %v", name, err)
	}
	next <- "b"
	expect("b")
	close(next)
	if _, err := io.ReadAll(stream.Body); err != nil {
		t.Errorf("end of the stream: %v", err)
	}
}

// lockedBuffer is a log that several goroutines may write to.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (n int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

var copyCount int

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	copyCount++
	servertest.CopyFile(t, from, to, time.Duration(copyCount)*time.Second)
}

// TestHandshakeTimeout guards against a TLS handshake that waits for ever because the server sends nothing.
func TestHandshakeTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dial, err := DialTLS(settings.TLS{}, (&net.Dialer{}).DialContext)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if _, err = dial(ctx, "tcp", l.Addr().String()); err == nil || ctx.Err() != nil {
		t.Errorf("got %v", err)
	}
}
