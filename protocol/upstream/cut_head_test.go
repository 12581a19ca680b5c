package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"shallotring.dev/standin/rawserver"
)

// TestCutHead guards against a response whose server closed the connection inside the head, at any byte, on a new connection or after a good
// response, and that counts as a response with an empty or short body. Requests, reports, orders and calls of the store are all sent in this way.
func TestCutHead(t *testing.T) {
	const (
		status = "HTTP/1.1 200 OK\r\n"
		id     = "Shallotring-Attempt-Id: r1\r\nShallotring-Server-Seal: s\r\n"
	)
	for name, head := range map[string]string{
		"length":                 status + id + "Content-Length: 120\r\n\r\n",
		"chunks":                 status + "Transfer-Encoding: chunked\r\n" + id + "\r\n",
		"end of the connection":  status + "Connection: close\r\n" + id + "\r\n",
		"informational response": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + status + id + "Content-Length: 120\r\n\r\n",
		"line feeds only":        strings.ReplaceAll(status+id+"Content-Length: 120\r\n\r\n", "\r\n", "\n"),
		"no content":             "HTTP/1.1 204 No Content\r\n" + id + "\r\n",
	} {
		for _, kept := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				for n := range len(head) {
					address := serveOnce(t, kept, head[:n])
					p := New(address)
					if kept {
						response, err := p.Do(context.Background(), Request{Method: http.MethodPost, Target: "/", Host: "x"})
						if err != nil {
							t.Fatal(err)
						}
						if b, err := io.ReadAll(response.Body); string(b) != "ok" || err != nil {
							t.Fatalf("body %q %v of the first response", b, err)
						}
						response.Close()
					}
					response, err := p.Do(context.Background(), Request{Method: http.MethodPost, Target: "/", Host: "x"})
					if err == nil {
						b, readErr := io.ReadAll(response.Body)
						t.Errorf("head cut at byte %d, %q, kept %t: status %d, body %q %v", n, head[:n], kept, response.Status, b, readErr)
						response.Close()
					} else if Unsent(err) {
						t.Errorf("head cut at byte %d, kept %t: the request counts as not sent", n, kept)
					}
					p.Close()
				}
			})
		}
	}
}

// serveOnce serves each connection: a good response first if the connection is kept, then the text, and an orderly end.
func serveOnce(t *testing.T, kept bool, text string) (address string) {
	t.Helper()
	return rawserver.Start(t, func(c net.Conn) {
		b := make([]byte, 4096)
		if kept {
			c.Read(b)
			io.WriteString(c, okResponse)
		}
		c.Read(b)
		io.WriteString(c, text)
	})
}
