package upstream

import (
	"fmt"
	"strings"
	"testing"

	"shallotring.dev/standin/rawserver"
)

// tokenSigns are the bytes of a field's name beside letters and digits.
const tokenSigns = "!#$%&'*+-.^_`|~"

// TestInvalidFieldNameIsNoResponse guards against a response with a field whose name holds a byte that HTTP does not allow, at any place: a field that
// net/http does not recognise by its name may be the one that says where the body ends.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	for b := range 256 {
		sign := string([]byte{byte(b)})
		valid := strings.Contains(tokenSigns, sign) || '0' <= b && b <= '9' || 'a' <= b|0x20 && b|0x20 <= 'z'
		for _, name := range []string{sign + "X", "X" + sign + "Y", "X" + sign} {
			// A colon ends the name, a line feed the line, and a line that begins with a space goes on with the value before it.
			if b == ':' && name[0] != ':' || b == '\n' || (b == ' ' || b == '\t') && name[0] == byte(b) {
				continue
			}
			for _, format := range []string{
				"HTTP/1.1 200 OK\r\nA: 1\r\n%s: value\r\nContent-Length: 2\r\n\r\nok",
				"HTTP/1.1 103 Early Hints\r\nA: 1\r\n%s: value\r\n\r\n" + okResponse,
			} {
				text := fmt.Sprintf(format, name)
				p := New(rawserver.Start(t, rawserver.Respond(text)))
				if status, body, err := send(t, p); (err == nil) != valid || Unsent(err) || valid && body != "ok" {
					t.Errorf("%q: response %d %q, error %v; want a response: %t", text, status, body, err, valid)
				}
				p.Close()
			}
		}
	}
}

// TestUnusualFieldsPass guards against a check of names that refuses fields that HTTP allows.
func TestUnusualFieldsPass(t *testing.T) {
	p := New(rawserver.Start(t, rawserver.Respond("HTTP/1.1 200 OK\r\n"+tokenSigns+": a\r\nX-Empty:\r\nX-Spaces: \t b c \t\r\ncontent-length:2\r\n\r\nok")))
	defer p.Close()
	response, err := p.Do(t.Context(), Request{Method: "GET", Target: "/", Host: "x"})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	for name, want := range map[string]string{tokenSigns: "a", "X-Empty": "", "X-Spaces": "b c"} {
		if values := response.Header[name]; len(values) != 1 || values[0] != want {
			t.Errorf("field %s = %q, want %q", name, values, want)
		}
	}
}
