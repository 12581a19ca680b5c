package engine

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// maxUsageBytes bounds the text that is kept to find the token counts; a larger answer is passed on without them.
const maxUsageBytes = 1 << 20

// usageReader finds the token counts in an answer that passes by, and the end mark of an event stream.
type usageReader struct {
	stream bool
	text   []byte
	over   bool
	usage  Usage
	done   bool
}

func (r *usageReader) write(p []byte) {
	if r.over && !r.stream {
		return
	}
	r.text = append(r.text, p...)
	for r.stream {
		line, rest, ok := bytes.Cut(r.text, []byte("\n"))
		if !ok {
			break
		}
		r.line(line)
		r.text = rest
	}
	if len(r.text) > maxUsageBytes {
		r.text, r.over = nil, true
	}
}

func (r *usageReader) line(line []byte) {
	data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, []byte("[DONE]")) {
		r.done = true
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

// close returns the counts. An event stream without its end mark was cut, although its transport ended cleanly.
func (r *usageReader) close() (u Usage, err error) {
	if r.stream {
		r.line(r.text)
		if !r.done {
			return r.usage, &CallError{Effect: MayHaveEffect, Err: eris.New("event stream ended without [DONE]")}
		}
		return r.usage, nil
	}
	r.parse(r.text)
	return r.usage, nil
}
