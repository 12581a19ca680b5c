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

// uploadBytes is the size of a request body that the endpoint does not receive at once.
const uploadBytes = 1 << 20

// sendUpload sends a request with a body and returns the response; an error means that the connection ended without a complete response.
func sendUpload(t *testing.T, address, path string) (code int, body string, err error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nShallotring-Attempt-Id: r1\r\nShallotring-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n", path, uploadBytes)
	if _, err = c.Write(make([]byte, uploadBytes)); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), err
}

// startUploadFrontend returns the address of an entry before an endpoint that sends a response as given, in which ID stands for the request id, before it
// reads the body of a request, or after it, and then calls end.
func startUploadFrontend(t *testing.T, afterBody bool, response string, end func(c *net.TCPConn)) (b *backend, address string) {
	t.Helper()
	b = newBackend(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		if afterBody {
			io.Copy(io.Discard, r.Body)
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		io.WriteString(c, strings.ReplaceAll(response, "ID", r.Header.Get("Shallotring-Attempt-Id")))
		end(c.(*net.TCPConn))
	})
	_, address = newFrontend(t, b)
	return b, address
}

const (
	uploadHead = "Shallotring-Attempt-Id: ID\r\nShallotring-Server-Seal: s\r\nContent-Type: "
	bytesPart  = "HTTP/1.1 200 OK\r\n" + uploadHead + "application/octet-stream\r\n\r\npart"
	streamPart = "HTTP/1.1 200 OK\r\n" + uploadHead + "text/event-stream\r\n\r\ndata: a\n\n"
)

// TestEndDuringUploadIsNotComplete guards against a part of a response without a length that reaches its caller as a complete one, because the endpoint
// reset or ended the connection while the request was still being sent to it.
func TestEndDuringUploadIsNotComplete(t *testing.T) {
	for _, x := range []struct{ name, path, response string }{
		{"bytes", "/once/", bytesPart},
		{"bytes, repeatable", "/again/", bytesPart},
		{"stream between two events", "/stream/", streamPart},
	} {
		for name, end := range map[string]func(t *testing.T) func(c *net.TCPConn){
			"reset":   func(*testing.T) func(c *net.TCPConn) { return func(c *net.TCPConn) { c.SetLinger(0) } },
			"closed":  func(*testing.T) func(c *net.TCPConn) { return func(*net.TCPConn) {} },
			"orderly": endOrderly,
		} {
			t.Run(x.name+", "+name, func(t *testing.T) {
				t.Parallel()
				// How the system reports a reset is a matter of chance.
				for range 30 {
					b, address := startUploadFrontend(t, false, x.response, end(t))
					if code, body, err := sendUpload(t, address, x.path); err == nil && code != http.StatusBadGateway {
						t.Errorf("response = %d %q, want 502 or an aborted one", code, body)
					}
					if n := b.runCount("r1"); n != 1 {
						t.Errorf("%d runs", n)
					}
				}
			})
		}
	}
}

// endOrderly returns a function that ends a connection without a reset until the end of the test.
func endOrderly(t *testing.T) func(c *net.TCPConn) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	return func(c *net.TCPConn) {
		c.CloseWrite()
		<-done
	}
}

// TestCompleteResponsesToUploads guards against a check of the end of a response that breaks complete ones: those without a length that follow the whole
// request, and those with a length, or that refuse the request, that come before.
func TestCompleteResponsesToUploads(t *testing.T) {
	for _, x := range []struct {
		name, path, response string
		afterBody            bool
		want                 int
	}{
		{"bytes", "/once/", bytesPart, true, 200},
		{"stream", "/stream/", streamPart, true, 200},
		{"early refusal with a length", "/once/", "HTTP/1.1 413 Too Large\r\n" + uploadHead + "text/plain\r\nContent-Length: 4\r\n\r\npart", false, 413},
		{"early refusal", "/once/", "HTTP/1.1 413 Too Large\r\n" + uploadHead + "text/plain\r\n\r\npart", false, 413},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			for range 10 {
				_, address := startUploadFrontend(t, x.afterBody, x.response, endOrderly(t))
				if code, body, err := sendUpload(t, address, x.path); code != x.want || !strings.HasSuffix(x.response, body) || body == "" || err != nil {
					t.Errorf("response = %d %q %v, want %d", code, body, err, x.want)
				}
			}
		})
	}
}
