package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

const defaultMaxTokens = 16

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// completionFormat builds the JSON of one of the two completion APIs.
type completionFormat struct {
	object, chunkObject string
	chunkChoice         func(text string) choice
	fullChoice          func(text string) choice
}

var textFormat = completionFormat{
	object: "text_completion", chunkObject: "text_completion",
	chunkChoice: func(text string) choice { return choice{Text: &text} },
	fullChoice:  func(text string) choice { return choice{Text: &text} },
}

var chatFormat = completionFormat{
	object: "chat.completion", chunkObject: "chat.completion.chunk",
	chunkChoice: func(text string) choice { return choice{Delta: &message{Role: "assistant", Content: text}} },
	fullChoice:  func(text string) choice { return choice{Message: &message{Role: "assistant", Content: text}} },
}

func (e *Engine) completions(w http.ResponseWriter, r *http.Request) {
	var c completionRequest
	if readJSON(w, r, &c) {
		e.complete(w, r, c, c.Prompt, textFormat)
	}
}

func (e *Engine) chatCompletions(w http.ResponseWriter, r *http.Request) {
	var c completionRequest
	if !readJSON(w, r, &c) {
		return
	}
	if len(c.Messages) == 0 {
		writeError(w, http.StatusBadRequest, "bad_request", "messages: must not be empty")
		return
	}
	e.complete(w, r, c, c.Messages[len(c.Messages)-1].Content, chatFormat)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, c completionRequest, prompt string, f completionFormat) {
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	id := r.Header.Get(HeaderRequestID)
	ctx, _, finish, err := e.startRun(r.Context(), id, c.Model, PromptDigest(prompt), fencingNumber(r))
	if errors.Is(err, errStaleFencing) {
		writeStaleError(w)
		return
	}
	if err != nil {
		writeError(w, http.StatusNotFound, "model_not_found", err.Error())
		return
	}
	finished := false
	defer func() { finish(finished) }()
	leaveBatch, err := e.joinBatch(ctx)
	if err != nil {
		abort()
	}
	defer leaveBatch()
	g := textGeneration{engine: e, request: c, id: id, prompt: prompt, format: f, tokens: Tokens(c.Model, prompt, c.MaxTokens)}
	if c.Stream {
		err = g.writeStream(ctx, w)
	} else {
		err = g.writeResponse(ctx, w)
	}
	if err != nil {
		abort()
	}
	finished = true
}

// abort closes the connection without completing the response, as an engine does when it crashes or cancels a request.
func abort() { panic(http.ErrAbortHandler) }

// textGeneration generates the response to one completion request.
type textGeneration struct {
	engine  *Engine
	request completionRequest
	id      string
	prompt  string
	format  completionFormat
	tokens  []string
}

func (g *textGeneration) waitTokenInterval(ctx context.Context) (err error) {
	if err = g.engine.waitWhileHeld(ctx); err != nil {
		return err
	}
	if g.engine.tokenInterval <= 0 {
		return ctx.Err()
	}
	t := g.engine.clock.NewTimer(g.engine.tokenInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *textGeneration) response(object string, c choice) completion {
	return completion{ID: g.id, Object: object, Created: time.Now().Unix(), Model: g.request.Model, Choices: []choice{c}}
}

func (g *textGeneration) usage() *usage {
	p := countTokens(g.prompt)
	return &usage{PromptTokens: p, CompletionTokens: len(g.tokens), TotalTokens: p + len(g.tokens)}
}

func (g *textGeneration) writeResponse(ctx context.Context, w http.ResponseWriter) (err error) {
	for range g.tokens {
		if err = g.waitTokenInterval(ctx); err != nil {
			return err
		}
	}
	stop := "stop"
	c := g.format.fullChoice(strings.Join(g.tokens, ""))
	c.FinishReason = &stop
	response := g.response(g.format.object, c)
	response.Usage = g.usage()
	writeJSON(w, http.StatusOK, response)
	return nil
}

func (g *textGeneration) writeStream(ctx context.Context, w http.ResponseWriter) (err error) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for _, t := range g.tokens {
		if err = g.waitTokenInterval(ctx); err != nil {
			return err
		}
		if err = writeEvent(w, g.response(g.format.chunkObject, g.format.chunkChoice(t))); err != nil {
			return err
		}
		if err = flush.Flush(); err != nil {
			return err
		}
	}
	stop := "stop"
	c := g.format.chunkChoice("")
	c.FinishReason = &stop
	last := g.response(g.format.chunkObject, c)
	last.Usage = g.usage()
	if err = writeEvent(w, last); err != nil {
		return err
	}
	_, err = io.WriteString(w, "data: [DONE]\n\n")
	return err
}

func writeEvent(w io.Writer, v any) (err error) {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = w.Write(append(append([]byte("data: "), b...), "\n\n"...))
	return err
}
