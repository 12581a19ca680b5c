package engine

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/eventstream"
	"shallotring.dev/protocol/jsonvalue"
	"shallotring.dev/protocol/mediatype"
	"shallotring.dev/state/ident"
)

// maxUsageBytes limits the text that is buffered to find the token usage; a larger response is forwarded without it.
const maxUsageBytes = 1 << 20

// usageReader finds the token usage in a response while it is forwarded, and decides whether the response is complete.
type usageReader struct {
	// stream is true for the event stream of an engine, which ends with a [DONE] event.
	stream bool
	// checkEvents and checkJSON say how the content of a successful response shows its end: every event stream ends after an event, and JSON
	// is checked if only the end of the connection marks its end.
	checkEvents  bool
	checkJSON    bool
	buffer       []byte
	oversized    bool
	usage        Usage
	doneReceived bool
	events       eventstream.Scanner
	value        jsonvalue.Scanner
}

func newUsageReader(r *http.Response, service bool) *usageReader {
	contentTypes := r.Header["Content-Type"]
	eventStream := mediatype.EventStream.Of(contentTypes...)
	successful := r.StatusCode < http.StatusMultipleChoices && r.Request.Method != http.MethodHead
	unframed := r.ContentLength < 0 && len(r.TransferEncoding) == 0
	return &usageReader{
		stream: eventStream && !service, checkEvents: successful && eventStream,
		checkJSON: successful && unframed && !eventStream && mediatype.JSON.Of(contentTypes...),
	}
}

func (r *usageReader) write(p []byte) {
	if r.checkEvents {
		r.events.Scan(p)
	}
	if r.checkJSON {
		_, _ = r.value.Write(p) // it never fails
	}
	if r.oversized && !r.stream {
		return
	}
	r.buffer = append(r.buffer, p...)
	for r.stream {
		line, rest, ok := bytes.Cut(r.buffer, []byte("\n"))
		if !ok {
			break
		}
		r.parseLine(line)
		r.buffer = rest
	}
	if len(r.buffer) > maxUsageBytes {
		r.buffer, r.oversized = nil, true
	}
}

func (r *usageReader) parseLine(line []byte) {
	data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, []byte("[DONE]")) {
		r.doneReceived = true
		return
	}
	r.parse(data)
}

func (r *usageReader) parse(text []byte) {
	var body struct {
		Usage *struct {
			PromptTokens     ident.Tokens `json:"prompt_tokens"`
			CompletionTokens ident.Tokens `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(text, &body) == nil && body.Usage != nil {
		r.usage = Usage{PromptTokens: body.Usage.PromptTokens, CompletionTokens: body.Usage.CompletionTokens}
	}
}

// close returns the usage at the end of the body. An endpoint that fails may end its response in the same way as after the last byte, so the
// content has to be complete as well: a stream does not end inside an event, that of an engine has a [DONE] event, and JSON is valid.
func (r *usageReader) close() (u Usage, err error) {
	truncated := func(reason string) error { return &CallError{Effect: MayHaveEffect, Err: eris.New(reason)} }
	if !r.stream {
		r.parse(r.buffer)
	}
	switch {
	case r.checkEvents && r.events.InsideEvent():
		return r.usage, truncated("event stream ended inside an event")
	case r.stream && !r.doneReceived:
		return r.usage, truncated("event stream ended without a [DONE] event")
	case r.checkJSON && !r.value.Complete():
		return r.usage, truncated("connection closed inside the JSON response")
	}
	return r.usage, nil
}
