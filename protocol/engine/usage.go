package engine

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// maxUsageBytes limits the text that is buffered to find the token usage; a larger response is forwarded without it.
const maxUsageBytes = 1 << 20

// usageReader finds the token usage in a response while it is forwarded, and the [DONE] event of a stream.
type usageReader struct {
	stream       bool
	buffer       []byte
	oversized    bool
	usage        Usage
	doneReceived bool
}

func (r *usageReader) write(p []byte) {
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

// close returns the usage. An event stream without a [DONE] event is truncated, even if the connection closed without an error.
func (r *usageReader) close() (u Usage, err error) {
	if r.stream {
		r.parseLine(r.buffer)
		if !r.doneReceived {
			return r.usage, &CallError{Effect: MayHaveEffect, Err: eris.New("event stream ended without a [DONE] event")}
		}
		return r.usage, nil
	}
	r.parse(r.buffer)
	return r.usage, nil
}
