package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
)

// Kind tells the request types apart.
type Kind int

// Kinds of requests.
const (
	// CompletionRequest is the body of POST /v1/completions.
	CompletionRequest Kind = iota
	// ChatRequest is the body of POST /v1/chat/completions.
	ChatRequest
)

// Request is a validated request; the fields that are not needed for routing stay as the caller sent them.
type Request struct {
	Model  string
	Stream bool
	// Input is the raw JSON of the prompt or of the messages.
	Input json.RawMessage

	body       []byte
	modelStart int
	modelEnd   int
}

// Body returns the request with only the value of "model" replaced.
func (r *Request) Body(model string) (body []byte) {
	name, _ := json.Marshal(model) // a string always marshals
	body = make([]byte, 0, len(r.body)+len(name))
	body = append(body, r.body[:r.modelStart]...)
	body = append(body, name...)
	return append(body, r.body[r.modelEnd:]...)
}

// Parse validates a request body; the request refers to the body, which must not change afterwards.
func Parse(kind Kind, body []byte) (r *Request, err error) {
	r = &Request{body: body}
	input := "prompt"
	if kind == ChatRequest {
		input = "messages"
	}
	if err = r.scan(input); err != nil {
		return nil, err
	}
	if r.Model == "" {
		return nil, invalid("model", "missing_model", "model must be set")
	}
	if kind == ChatRequest {
		err = checkMessages(r.Input)
	} else {
		err = checkPrompt(r.Input)
	}
	if err != nil {
		return nil, err
	}
	return r, nil
}

// scan walks the fields of the top object.
func (r *Request) scan(input string) (err error) {
	d := json.NewDecoder(bytes.NewReader(r.body))
	d.UseNumber()
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return malformed(err, "body must be a JSON object")
	}
	seen := make(map[string]bool, 8)
	for d.More() {
		t, err := d.Token()
		name, ok := t.(string)
		if err != nil || !ok {
			return malformed(err, "field name expected")
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return malformed(err, "value of "+name)
		}
		if err := r.field(seen, name, input, value, int(d.InputOffset())); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return malformed(err, "end of object expected")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return malformed(nil, "unexpected data after the object")
	}
	return nil
}

// field takes over one field. Parsers of engines differ in which of two equal or case-different names wins;
// such names are refused because the engine could run another model than the entry resolved.
func (r *Request) field(seen map[string]bool, name, input string, value json.RawMessage, end int) (err error) {
	for _, known := range []string{"model", "stream", input} {
		if !strings.EqualFold(name, known) {
			continue
		}
		if name != known || seen[known] {
			return invalid(known, "ambiguous_field", "field "+known+" must appear once and in lower case")
		}
		seen[known] = true
	}
	switch name {
	case "model":
		r.modelStart, r.modelEnd = end-len(value), end
		if json.Unmarshal(value, &r.Model) != nil {
			return invalid("model", "invalid_model", "model must be a string")
		}
	case "stream":
		if json.Unmarshal(value, &r.Stream) != nil {
			return invalid("stream", "invalid_type", "stream must be true or false")
		}
	case input:
		r.Input = value
	case "max_tokens", "max_completion_tokens", "n":
		return checkCount(name, value)
	}
	return nil
}

func checkCount(name string, value json.RawMessage) (err error) {
	var n *int64
	if json.Unmarshal(value, &n) != nil || n != nil && *n < 0 {
		return invalid(name, "invalid_value", name+" must be a number that is not negative")
	}
	return nil
}

func checkPrompt(value json.RawMessage) (err error) {
	if len(value) == 0 || value[0] != '"' && value[0] != '[' {
		return invalid("prompt", "missing_prompt", "prompt must be a string or an array")
	}
	return nil
}

func checkMessages(value json.RawMessage) (err error) {
	var list []struct {
		Role string `json:"role"`
	}
	if len(value) == 0 || json.Unmarshal(value, &list) != nil || len(list) == 0 {
		return invalid("messages", "missing_messages", "messages must be an array with at least one message")
	}
	for _, m := range list {
		if m.Role == "" {
			return invalid("messages", "missing_role", "each message must have a role")
		}
	}
	return nil
}
