package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"shallotring.dev/protocol/frame"
	"shallotring.dev/protocol/wire"
)

func newClient(r *testEntry) openai.Client {
	return openai.NewClient(option.WithBaseURL(r.url+"/v1"), option.WithAPIKey(token), option.WithMaxRetries(0))
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
}

// TestClientLibrary guards against responses that the OpenAI client library cannot decode.
func TestClientLibrary(t *testing.T) {
	r := startEntry(t, testSettings(), twoAgents(t))
	client := newClient(r)
	ctx := t.Context()
	t.Run("list", func(t *testing.T) {
		list, err := client.Models.List(ctx)
		if err != nil || len(list.Data) != 1 || list.Data[0].ID != "core" {
			t.Errorf("got %+v, %v", list, err)
		}
	})
	t.Run("plain", func(t *testing.T) {
		w, err := client.Chat.Completions.New(ctx, chatParams("core@v2"))
		if err != nil || w.Model != "core@v2" || w.Choices[0].Message.Content == "" {
			t.Errorf("got %+v, %v", w, err)
		}
	})
	t.Run("completion", func(t *testing.T) {
		w, err := client.Completions.New(ctx, openai.CompletionNewParams{
			Model: "core", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
		})
		if err != nil || w.Model != "core@v1" || w.Choices[0].Text == "" {
			t.Errorf("got %+v, %v", w, err)
		}
	})
	t.Run("stream", func(t *testing.T) {
		s := client.Chat.Completions.NewStreaming(ctx, chatParams("core"))
		text := ""
		for s.Next() {
			text += s.Current().Choices[0].Delta.Content
		}
		if s.Err() != nil || text != "part0 part1 part2 " {
			t.Errorf("got %q, %v", text, s.Err())
		}
	})
	t.Run("error", func(t *testing.T) {
		_, err := client.Chat.Completions.New(ctx, chatParams("none"))
		var e *openai.Error
		if !errors.As(err, &e) || e.StatusCode != http.StatusNotFound || e.Code != "model_not_found" || e.Message == "" {
			t.Errorf("got %v", err)
		}
	})
}

// TestClientLibraryReportsTruncatedStream guards against a truncated stream that the client library reads as complete:
// the agent sends the [DONE] event and closes the connection without an end frame.
func TestClientLibraryReportsTruncatedStream(t *testing.T) {
	agents := twoAgents(t)
	agents[0].run = func(w *frame.Writer, r *wire.RunRequest, _ *http.Request) {
		w.Accept()
		w.Data(chunk(r, "part0 "), http.StatusOK, eventType)
		w.Data([]byte("data: [DONE]\n\n"), 0, "")
		panic(http.ErrAbortHandler)
	}
	r := startEntry(t, testSettings(), agents)
	client := newClient(r)
	s := client.Chat.Completions.NewStreaming(t.Context(), chatParams("core"))
	events := 0
	for s.Next() {
		events++
	}
	if events != 1 || s.Err() == nil {
		t.Errorf("got %d events, error %v", events, s.Err())
	}
}

// TestClientLibraryCancel guards against a try that keeps running at the agent after its caller has disconnected.
func TestClientLibraryCancel(t *testing.T) {
	agents := twoAgents(t)
	cancelled := make(chan struct{})
	agents[0].run = func(w *frame.Writer, r *wire.RunRequest, h *http.Request) {
		w.Accept()
		w.Data(chunk(r, "part0 "), http.StatusOK, eventType)
		<-h.Context().Done()
		close(cancelled)
	}
	r := startEntry(t, testSettings(), agents)
	ctx, cancel := context.WithCancel(t.Context())
	client := newClient(r)
	s := client.Chat.Completions.NewStreaming(ctx, chatParams("core"))
	if !s.Next() {
		t.Fatal(s.Err())
	}
	cancel()
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the agent's request was not cancelled")
	}
	if s.Next() || s.Err() == nil {
		t.Error("the cancelled stream ended without an error")
	}
}

// TestUnknownFieldsPassThrough guards against unknown fields of a request body that the engine does not receive, or
// receives altered.
func TestUnknownFieldsPassThrough(t *testing.T) {
	agents := twoAgents(t)
	r := startEntry(t, testSettings(), agents)
	body := `{"x_top": {"b":1.50, "a":[1e3]},  "model" : "core", "messages":[{"role":"user","content":"h","y":null}], "seed": 12345678901234567890}`
	want := `{"x_top": {"b":1.50, "a":[1e3]},  "model" : "core@v1", "messages":[{"role":"user","content":"h","y":null}], "seed": 12345678901234567890}`
	w := r.post(t, "/v1/chat/completions", body)
	if readAll(t, w); !json.Valid([]byte(want)) || string(agents[0].lastRequest().GetBody()) != want {
		t.Errorf("engine received %s", agents[0].lastRequest().GetBody())
	}
}
