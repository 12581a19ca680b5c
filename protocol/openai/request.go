package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
)

// Kind is the type of a request.
type Kind int

// Kinds of requests.
const (
	// CompletionRequest is the body of POST /v1/completions.
	CompletionRequest Kind = iota
	// ChatRequest is the body of POST /v1/chat/completions.
	ChatRequest
)

// Request is a validated request; fields that routing does not need stay as the caller sent them.
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

// Parse validates a request body. The request retains the body, which must not be modified afterwards.
func Parse(kind Kind, body []byte) (r *Request, err error) {
	r = &Request{body: body}
	inputName := "prompt"
	if kind == ChatRequest {
		inputName = "messages"
	}
	if err = r.parseFields(inputName); err != nil {
		return nil, err
	}
	if r.Model == "" {
		return nil, invalidField("model", "missing_model", "model must be set")
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

// parseFields parses the fields of the top-level object; inputName is the name of the field with the prompt or the messages.
func (r *Request) parseFields(inputName string) (err error) {
	d := json.NewDecoder(bytes.NewReader(r.body))
	d.UseNumber()
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return malformedJSON(err, "body must be a JSON object")
	}
	seen := make(map[string]bool, 8)
	for d.More() {
		t, err := d.Token()
		name, ok := t.(string)
		if err != nil || !ok {
			return malformedJSON(err, "field name expected")
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return malformedJSON(err, "value of "+name)
		}
		if err := r.applyField(seen, name, inputName, value, int(d.InputOffset())); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return malformedJSON(err, "end of object expected")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return malformedJSON(nil, "unexpected data after the object")
	}
	return nil
}

// applyField validates one field and sets it in r if routing needs it. The JSON parsers of engines differ in which field wins if
// a name appears twice or in different case; such names are rejected because the engine could run a different model than the
// entry resolved. valueEnd is the offset of the end of the value in the body.
func (r *Request) applyField(seen map[string]bool, name, inputName string, value json.RawMessage, valueEnd int) (err error) {
	for _, known := range []string{"model", "stream", inputName} {
		if !strings.EqualFold(name, known) {
			continue
		}
		if name != known || seen[known] {
			return invalidField(known, "ambiguous_field", "field "+known+" must appear once and in lower case")
		}
		seen[known] = true
	}
	switch name {
	case "model":
		r.modelStart, r.modelEnd = valueEnd-len(value), valueEnd
		if json.Unmarshal(value, &r.Model) != nil {
			return invalidField("model", "invalid_model", "model must be a string")
		}
	case "stream":
		if json.Unmarshal(value, &r.Stream) != nil {
			return invalidField("stream", "invalid_type", "stream must be true or false")
		}
	case inputName:
		r.Input = value
	case "max_tokens", "max_completion_tokens", "n":
		return checkCount(name, value)
	}
	return nil
}

func checkCount(name string, value json.RawMessage) (err error) {
	var n *int64
	if json.Unmarshal(value, &n) != nil || n != nil && *n < 0 {
		return invalidField(name, "invalid_value", name+" must be a number that is not negative")
	}
	return nil
}

func checkPrompt(value json.RawMessage) (err error) {
	if len(value) == 0 || value[0] != '"' && value[0] != '[' {
		return invalidField("prompt", "missing_prompt", "prompt must be a string or an array")
	}
	return nil
}

func checkMessages(value json.RawMessage) (err error) {
	var list []struct {
		Role string `json:"role"`
	}
	if len(value) == 0 || json.Unmarshal(value, &list) != nil || len(list) == 0 {
		return invalidField("messages", "missing_messages", "messages must be an array with at least one message")
	}
	for _, m := range list {
		if m.Role == "" {
			return invalidField("messages", "missing_role", "each message must have a role")
		}
	}
	return nil
}
