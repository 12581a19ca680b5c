package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
		head = strings.ReplaceAll(head, "ID", r.Header.Get("Shallotring-Attempt-Id"))
		for text := head; err == nil; text = unit {
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
