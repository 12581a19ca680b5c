package roundtrip

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/responsehead"
)

// Transport fails a request whose response is broken, as net/http does for one that it cannot parse; the server may have run the request.
type Transport struct{ base http.RoundTripper }

// New returns a transport that sends requests with base.
func New(base http.RoundTripper) *Transport { return &Transport{base: base} }

// CloseIdleConnections closes the idle connections of the base transport; http.Client looks for this method.
func (t *Transport) CloseIdleConnections() {
	c := http.Client{Transport: t.base}
	c.CloseIdleConnections()
}

// RoundTrip sends a request and returns its response if it is a well-formed one.
func (t *Transport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	var write writeTrace
	trace := &httptrace.ClientTrace{
		Got1xxResponse: checkInformational, GotConn: write.gotConn, WroteHeaders: write.wroteHeaders, WroteRequest: write.wroteRequest,
	}
	response, err = t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err = check(response); err != nil {
		// The connection is closed with the body, which has not been read.
		response.Body.Close()
		return nil, eris.Wrap(err, "broken response")
	}
	if a := write.last(); a != nil && unframed(response) {
		response.Body = &unframedBody{ReadCloser: response.Body, status: response.StatusCode, attempt: a}
	}
	return response, nil
}

// unframed reports whether the body of a response ends with its connection. net/http decodes a compressed body and then hides its length.
func unframed(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed && r.Body != http.NoBody
}

func checkInformational(status int, header textproto.MIMEHeader) error {
	return responsehead.Check(status, http.Header(header))
}

// check returns an error for a broken head. No client asks for another protocol, so a response that changes to one answers no request.
func check(r *http.Response) error {
	if r.StatusCode == http.StatusSwitchingProtocols {
		return eris.New("the server changes the protocol unasked")
	}
	return responsehead.Check(r.StatusCode, r.Header)
}
