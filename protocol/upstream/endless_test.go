package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// startEndlessServer starts a server that sends start and then repeats unit without end, with a pause between two writes, until the
// client closes the connection.
func startEndlessServer(t *testing.T, start, unit string, pause time.Duration) (address string, closed chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	closed = make(chan int, 8)
	// The server allocates nothing for a write, since tests measure what the client allocates in the same process.
	first, rest := []byte(start), []byte(unit)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				total, text := 0, first
				for {
					n, err := c.Write(text)
					if total += n; err != nil {
						closed <- total
						return
					}
					text = rest
					time.Sleep(pause)
				}
			}()
		}
	}()
	return l.Addr().String(), closed
}

func repeated(s string) string { return strings.Repeat(s, max(4096/len(s), 1)) }

// TestEndlessResponse guards against memory that grows, or a call that lasts longer than its context, when a server sends bytes without
// end in place of a response or after it.
func TestEndlessResponse(t *testing.T) {
	const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, x := range []struct {
		name, start, unit string
		pause             time.Duration
		// wantHead is set if the response is expected to begin; its body then ends with an error.
		wantHead bool
	}{
		{"zeros", "\x00", repeated("\x00"), 0, false},
		{"status line without end", "HTTP/1.1 200 O", repeated("K"), 0, false},
		{"header without end", "HTTP/1.1 200 OK\r\nA: ", repeated("b"), 0, false},
		{"headers without end", "HTTP/1.1 200 OK\r\n", repeated("A: b\r\n"), 0, false},
		{"informational responses without end", "HTTP/1.1 100 Continue\r\n\r\n", repeated("HTTP/1.1 102 Processing\r\n\r\n"), 0, false},
		{"head of one byte at a time", "HTTP/1.1 200 OK\r\nA: ", "b", 20 * time.Millisecond, false},
		{"chunk extension without end", chunkedHead + "2;a=", repeated("b"), 0, true},
		{"chunk size without end", chunkedHead, repeated("0"), 0, true},
		{"trailers without end", chunkedHead + "2\r\nok\r\n0\r\n", repeated("A: b\r\n"), 0, true},
		{"body without length", "HTTP/1.1 200 OK\r\n\r\n", repeated("x"), 0, true},
		{"chunks without end", chunkedHead, repeated("1\r\nx\r\n"), 0, true},
		{"body of one byte at a time", chunkedHead, "1\r\nx\r\n", 20 * time.Millisecond, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			address, closed := startEndlessServer(t, x.start, x.unit, x.pause)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			p := New(address)
			response, err := p.Do(ctx, Request{Method: "GET", Target: "/", Host: "x"})
			if (err == nil) != x.wantHead {
				t.Fatalf("head: %v, want one: %t", err, x.wantHead)
			}
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				response.Close()
			}
			if err == nil || Unsent(err) {
				t.Errorf("error = %v, want one for a request that was sent", err)
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Error("the connection is still open")
			}
			if open, _ := p.ConnectionCounts(); open != 0 {
				t.Errorf("%d connections are open, want 0", open)
			}
		})
	}
}

// TestEndlessHeadIsCutOff guards against a head that is read, and kept in memory, until the context ends.
func TestEndlessHeadIsCutOff(t *testing.T) {
	address, closed := startEndlessServer(t, "HTTP/1.1 200 OK\r\nA: ", repeated("b"), 0)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := New(address).Do(context.Background(), Request{Method: "GET", Target: "/", Host: "x"})
	runtime.ReadMemStats(&after)
	if !errors.Is(err, errHeadTooLarge) {
		t.Errorf("error = %v, want errHeadTooLarge", err)
	}
	if n := after.TotalAlloc - before.TotalAlloc; n > 64*maxHeadBytes {
		t.Errorf("%d bytes were allocated for a head of at most %d", n, maxHeadBytes)
	}
	<-closed
}

// TestBytesAfterResponse guards against a connection that is used again although the server goes on sending bytes after a response.
func TestBytesAfterResponse(t *testing.T) {
	address, closed := startEndlessServer(t, okResponse, repeated("x"), 0)
	p := New(address)
	for range 2 {
		response, err := p.Do(context.Background(), Request{Method: "GET", Target: "/", Host: "x"})
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(response.Body)
		response.Close()
		if string(b) != "ok" || err != nil {
			t.Errorf("body = %q %v", b, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.Close()
	for range 2 {
		<-closed
	}
}

// TestLargeHead guards against a limit that refuses a large but valid head.
func TestLargeHead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	for i := range 30 {
		head += fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("v", 1000))
	}
	address, _ := startServer(t, head+"\r\nok", head+"\r\nok")
	p := New(address)
	for range 2 {
		if status, body, err := send(t, p); status != http.StatusOK || body != "ok" || err != nil {
			t.Errorf("response = %d %q %v", status, body, err)
		}
	}
}

// FuzzReadHead guards against a response that makes the decoder fail in any other way than with an error.
func FuzzReadHead(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nConnection: close\r\n\r\nx"))
	f.Fuzz(func(t *testing.T, b []byte) {
		client, server := net.Pipe()
		go func() {
			server.Write(b)
			server.Close()
		}()
		defer client.Close()
		r := &Response{connection: newConnection(client), write: newRequestWrite()}
		r.write.end(nil)
		if _, err := r.readHead(http.MethodGet); err == nil {
			io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20))
		}
	})
}
