package frontend

import (
	"net/http"
	"strings"
	"testing"
)

// TestBrokenResponsesAreRepeated guards against a repeatable request that fails, or whose caller gets the broken response, although another endpoint
// serves it; a request that may run once must not run there.
func TestBrokenResponsesAreRepeated(t *testing.T) {
	const identity = "Shallotring-Attempt-Id: ID\r\nShallotring-Server-Seal: s\r\n"
	for _, x := range []struct{ name, response string }{
		{"invalid status", "HTTP/1.1 000 Status\r\n" + identity + "Content-Length: 4\r\n\r\npart"},
		{"space in the name of a field", "HTTP/1.1 200 OK\r\n" + identity + "X : v\r\nContent-Length: 4\r\n\r\npart"},
		{"end during the upload", "HTTP/1.1 200 OK\r\n" + identity + "\r\npart"},
	} {
		for path, want := range map[string]int{"/again/": http.StatusOK, "/once/": http.StatusBadGateway} {
			t.Run(x.name+" "+path, func(t *testing.T) {
				t.Parallel()
				broken, _ := startUploadFrontend(t, false, x.response, endOrderly(t))
				good := newBackend(t, serveRequest)
				_, address := newFrontend(t, broken, good)
				// The choice between two idle endpoints is random; the first request that reaches the broken one is checked.
				for broken.runCount("r1") == 0 {
					ran := good.runCount("r1")
					code, body, err := sendUpload(t, address, path)
					if broken.runCount("r1") == 0 {
						continue
					}
					if code != want || err != nil || strings.Contains(body, "part") {
						t.Errorf("response = %d %q %v, want %d", code, body, err, want)
					}
					if repeated := good.runCount("r1") - ran; (repeated == 1) != (want == http.StatusOK) {
						t.Errorf("%d runs at the other endpoint", repeated)
					}
				}
			})
		}
	}
}
