package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
)

// FuzzParse guards against a crash of the parser, and against Body changing more than the model of a request.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		`{"model":"a","prompt":"x"}`,
		`{"model":"a@1","messages":[{"role":"user","content":"x"}],"stream":true}`,
		`{"messages":[{"role":"user"}],"x":{"model":"b"},"model":"a"}`,
		`{"model":"a","Model":"b","prompt":""}`,
		`{"model":"a","prompt":["x"],"n":1e2}`,
		`{"model":"\ud800","prompt":"x"} x`,
		`{"mod\u0065l":"a","prompt":"x"}`,
		`[`,
	} {
		f.Add(s, true)
		f.Add(s, false)
	}
	const name = `adapter@"v1`
	f.Fuzz(func(t *testing.T, text string, chat bool) {
		kind := CompletionRequest
		if chat {
			kind = ChatRequest
		}
		r, err := Parse(kind, []byte(text))
		if err != nil {
			var e *Error
			if !errors.As(err, &e) || e.Status != 400 || e.Message == "" || e.Code == "" {
				t.Fatalf("error without a status, message or code: %v", err)
			}
			return
		}
		var before, after map[string]json.RawMessage
		if err := json.Unmarshal([]byte(text), &before); err != nil {
			t.Fatalf("accepted %q: %v", text, err)
		}
		if err := json.Unmarshal(r.Body(name), &after); err != nil {
			t.Fatalf("body with a new model %q: %v", r.Body(name), err)
		}
		var model string
		if json.Unmarshal(after["model"], &model) != nil || model != name {
			t.Fatalf("model is %s", after["model"])
		}
		delete(before, "model")
		delete(after, "model")
		if len(before) != len(after) {
			t.Fatalf("fields differ: %q", r.Body(name))
		}
		for k, v := range before {
			if !bytes.Equal(v, after[k]) {
				t.Fatalf("field %q was %s and is %s", k, v, after[k])
			}
		}
	})
}
