package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// sendWithoutEnd hijacks the connection and sends head and then unit again and again until the connection is closed.
func sendWithoutEnd(head, unit string, pause time.Duration) func(b *backend, w http.ResponseWriter, r *http.Request) {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		first := strings.ReplaceAll(head, "ID", r.Header.Get("Shallotring-Attempt-Id"))
		for text := first; err == nil; text = unit {
			_, err = io.WriteString(c, text)
			time.Sleep(pause)
		}
	}
}

const sealedHead = "HTTP/1.1 200 OK\r\nShallotring-Attempt-Id: ID\r\nShallotring-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n"

// TestEndlessResponses guards against a request that is reported as not run, looks complete or is held past its deadline when its
// endpoint sends bytes without end, and against other requests that are held up meanwhile.
func TestEndlessResponses(t *testing.T) {
	large := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
	for _, x := range []struct {
		name, path string
		respond    func(b *backend, w http.ResponseWriter, r *http.Request)
		// wantStatus is 0 if the response may begin; it must not look complete.
		wantStatus int
	}{
		{"head", "/once/", sendWithoutEnd("HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 1000), 0), 502},
		{"no HTTP", "/once/", sendWithoutEnd("\x00", strings.Repeat("\x00", 4096), 0), 502},
		{"slow head", "/once/", sendWithoutEnd("HTTP/1.1 200 OK\r\nA: ", "b", 20*time.Millisecond), 504},
		{"slow body", "/once/", sendWithoutEnd(sealedHead+"\r\n", "1\r\nx\r\n", 20*time.Millisecond), 504},
		{"body", "/once/", sendWithoutEnd(sealedHead+"\r\n", large, 0), 0},
		{"stream", "/stream/", sendWithoutEnd(sealedHead+"Content-Type: text/event-stream\r\n\r\n", large, 0), 0},
		{"event without end", "/stream/", sendWithoutEnd(sealedHead+"Content-Type: text/event-stream\r\n\r\n", "1\r\nx\r\n", 20*time.Millisecond), 0},
		{"trailers", "/once/", sendWithoutEnd(sealedHead+"\r\n2\r\nok\r\n0\r\n", strings.Repeat("A: b\r\n", 1000), 0), 502},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			_, address := newFrontend(t, newBackend(t, x.respond))
			start := time.Now()
			code, body, _, err := sendRequest(t, address, x.path, "r1")
			if x.wantStatus == 0 && err == nil {
				t.Errorf("a response of %d bytes with status %d looks complete", len(body), code)
			}
			if x.wantStatus != 0 && (code != x.wantStatus || err != nil) {
				t.Errorf("response = %d %v, want %d", code, err, x.wantStatus)
			}
			if len(body) > maxForwardedBytes+(64<<10) {
				t.Errorf("%d bytes were forwarded", len(body))
			}
			// The caller's deadline is 1.5 s.
			if passed := time.Since(start); passed > 4*time.Second {
				t.Errorf("the response took %v", passed)
			}
		})
	}
}

// TestSlowRequestBody guards against a caller that occupies a connection for ever because it never completes the body of its request, and
// against a request that is cut off after its body arrived because the deadline of the body passes.
func TestSlowRequestBody(t *testing.T) {
	b := newBackend(t, serveRequest)
	_, address := newFrontend(t, b)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	const head = "POST /once/ HTTP/1.1\r\nHost: x\r\nShallotring-Attempt-Id: %s\r\nShallotring-Deadline-Ms: 300\r\nContent-Length: 4\r\n\r\n"
	r := bufio.NewReader(c)
	fmt.Fprintf(c, head+"body", "whole")
	response, err := http.ReadResponse(r, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("whole body: %v %v", response, err)
	}
	io.Copy(io.Discard, response.Body)
	time.Sleep(400 * time.Millisecond)
	fmt.Fprintf(c, head+"bo", "partial")
	response, err = http.ReadResponse(r, nil)
	if err != nil || response.StatusCode != http.StatusRequestTimeout {
		t.Fatalf("partial body: %v %v, want 408", response, err)
	}
	if n := b.runCount("partial"); n > 0 {
		t.Errorf("the incomplete request ran %d times", n)
	}
}

// TestManyEndlessResponses guards against an entry that runs out of memory, or holds up requests to other endpoints, when hundreds of its requests
// get bytes without end at the same time.
func TestManyEndlessResponses(t *testing.T) {
	const (
		requests = 300
		// hostMemory is the memory of an entry's host; the program sets memoryLimit for its share of it.
		hostMemory  = 284 << 20
		memoryLimit = hostMemory * 7 / 10
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memoryLimit))
	large := strings.Repeat("x", 64<<10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(large), large)
	for name, respond := range map[string]func(b *backend, w http.ResponseWriter, r *http.Request){
		"head": sendWithoutEnd("HTTP/1.1 200 OK\r\nA: ", large[:16<<10], 100*time.Millisecond),
		"body": sendWithoutEnd(sealedHead+"\r\n", chunk, 50*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			// Each takes six requests at once.
			var backends []*backend
			var reached atomic.Int32
			for range requests / 6 {
				backends = append(backends, newBackend(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
					reached.Add(1)
					respond(b, w, r)
				}))
			}
			_, address := newFrontend(t, backends...)
			runtime.GC()
			var wg sync.WaitGroup
			for i := range requests {
				wg.Go(func() {
					c, err := net.Dial("tcp", address)
					if err != nil {
						t.Error(err)
						return
					}
					defer c.Close()
					fmt.Fprintf(c, "GET /once/ HTTP/1.1\r\nHost: x\r\nShallotring-Attempt-Id: r%d\r\nShallotring-Deadline-Ms: 1500\r\n\r\n", i)
					if err = c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
						t.Error(err)
					}
					// The caller reads the status line only, and later than the response comes.
					time.Sleep(500 * time.Millisecond)
					_, _ = bufio.NewReader(c).ReadString('\n')
				})
			}
			done := make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			highest := uint64(0)
			for ended := false; !ended; {
				select {
				case <-done:
					ended = true
				case <-time.After(10 * time.Millisecond):
				}
				var now runtime.MemStats
				runtime.ReadMemStats(&now)
				highest = max(highest, now.HeapAlloc)
			}
			if n := reached.Load(); n < requests*9/10 {
				t.Errorf("%d of %d requests reached an endpoint", n, requests)
			}
			t.Logf("the heap had up to %d MB", highest>>20)
			if highest > memoryLimit {
				t.Errorf("the heap had up to %d bytes, the program's limit is %d", highest, memoryLimit)
			}
		})
	}
}
