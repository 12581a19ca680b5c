//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is the stand-in of one engine: a process of its own, so that a signal can end it. It reads commands from its input and writes what arrives
// and runs to its output, one JSON object a line.
type engine struct {
	id, service, model string
	slots, queue       int
	events             int
	pace, adapterTime  time.Duration
	unframed           bool
	// reading is the number of prompt tokens that are read in a millisecond, one prompt after the other; 0 reads them at once.
	reading float64
	reader  sync.Mutex
	born    int64

	mu       sync.Mutex
	out      *json.Encoder
	slow     float64
	limit    float64
	sequence int64
	fence    int64
	loaded   bool
	busy     bool
	adapters []string // NAME@VERSION
	pending  []string
	uses     map[string]int // runs and waiting requests by NAME@VERSION
	running  int
	waiting  []chan struct{}
}

// line is one line of an engine's output.
type line struct {
	At      int64  `json:"at"` // microseconds since 1970
	Engine  string `json:"engine"`
	What    string `json:"what"` // arrived, refused, runs, piece, ends
	ID      string `json:"id,omitempty"`
	Path    string `json:"path,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Status  int    `json:"status,omitempty"`
	Piece   int    `json:"piece,omitempty"`
	Waited  int64  `json:"waitedMs,omitempty"`
}

func (e *engine) write(l line) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.At, l.Engine = time.Now().UnixMicro(), e.id
	_ = e.out.Encode(l)
}

func runEngine(arguments []string) {
	f := flag.NewFlagSet("engine", flag.ExitOnError)
	e := &engine{slow: 1, uses: make(map[string]int), born: time.Now().UnixMilli(), out: json.NewEncoder(os.Stdout)}
	listen := f.String("listen", "", "")
	f.StringVar(&e.id, "id", "", "")
	f.StringVar(&e.service, "service", "", "")
	f.StringVar(&e.model, "model", "", "")
	f.IntVar(&e.slots, "slots", 64, "")
	f.IntVar(&e.queue, "queue", 192, "")
	f.IntVar(&e.events, "events", 10, "")
	f.DurationVar(&e.pace, "pace", 30*time.Millisecond, "")
	f.DurationVar(&e.adapterTime, "adapter", 250*time.Millisecond, "")
	f.Float64Var(&e.reading, "reading", 0, "")
	f.BoolVar(&e.unframed, "unframed", false, "")
	_ = f.Parse(arguments)
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go func() { _ = (&http.Server{Handler: e, IdleTimeout: 20 * time.Second}).Serve(l) }()
	e.write(line{What: "started"})
	commands := bufio.NewScanner(os.Stdin)
	for commands.Scan() {
		name, value, _ := strings.Cut(commands.Text(), " ")
		x, _ := strconv.ParseFloat(value, 64)
		e.mu.Lock()
		switch name {
		case "slow":
			e.slow = x
		case "limit":
			e.limit = x
		}
		e.mu.Unlock()
	}
	// The case has ended.
	os.Exit(0)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if e.limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(e.limit, 'f', -1, 64))
	}
	e.mu.Unlock()
	switch {
	case r.URL.Path == "/report":
		e.report(w)
	case r.URL.Path == "/order":
		e.order(w, r)
	case r.URL.Path == "/health":
		w.Header().Set("Shallotring-Instance", e.id)
	default:
		e.run(w, r)
	}
}

func (e *engine) models() []any {
	if !e.loaded {
		return []any{}
	}
	return []any{map[string]any{"name": e.model, "version": 1, "adapters": slices.Clone(e.adapters)}}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	pending := []string{}
	for _, a := range e.pending {
		pending = append(pending, e.model+"/"+a)
	}
	v := map[string]any{"stage": "colocated", "models": e.models(), "busy": e.busy, "seq": e.sequence, "queueDepth": len(e.waiting), "inFlight": e.running,
		"kvUsed": 1000 * e.running, "kvTotal": 240000, "handles": 0, "pending": pending, "state": "ready", "born": e.born, "runs": []any{}}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Adapter, Holder string
		Version                    json.Number
		Expected                   *int64
		FenceToken                 int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.FenceToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if x := r.Header.Get("Shallotring-Expect-Instance"); x != "" && x != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FenceToken < e.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	e.fence = o.FenceToken
	if e.busy || o.Expected != nil && *o.Expected != e.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	w.WriteHeader(http.StatusAccepted)
	if o.Adapter == "" {
		e.busy = true
		time.AfterFunc(600*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy, e.loaded = false, o.Op == "model_load"
		})
		return
	}
	if o.Op == "model_unload" {
		// An adapter that requests use goes when these have ended; the system orders it only without any.
		e.adapters = slices.DeleteFunc(e.adapters, func(a string) bool { return strings.HasPrefix(a, o.Adapter+"@") && e.uses[a] == 0 })
		return
	}
	version := o.Version.String()
	if version == "" {
		version = "1"
	}
	name := o.Adapter + "@" + version
	e.pending = append(e.pending, name)
	time.AfterFunc(e.adapterTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.pending = slices.DeleteFunc(e.pending, func(a string) bool { return a == name })
		e.adapters = append(e.adapters, name)
	})
}

// holds returns the adapter, in the form NAME@VERSION, on which a request is to run; the lock is held.
func (e *engine) holds(r *http.Request) (adapter string, ok bool) {
	if x := r.Header.Get("Shallotring-Expect-Instance"); x != "" && x != e.id {
		return "", false
	}
	model, name, _ := strings.Cut(r.Header.Get("Shallotring-Model"), "/")
	if e.model == "" || model == "" {
		return "", e.model == "" && model == ""
	}
	if model != e.model || !e.loaded {
		return "", false
	}
	if name == "" {
		return "", true
	}
	expected := r.Header.Get("Shallotring-Expect-Version")
	for _, a := range e.adapters {
		if n, v, _ := strings.Cut(a, "@"); n == name && (expected == "" || v == expected) {
			return a, true
		}
	}
	return "", false
}

func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Shallotring-Attempt-Id")
	h := w.Header()
	h.Set("Shallotring-Attempt-Id", id)
	e.write(line{What: "arrived", ID: id, Path: r.RequestURI})
	e.mu.Lock()
	adapter, ok := e.holds(r)
	if !ok {
		e.mu.Unlock()
		h.Set("Shallotring-Instance", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		e.write(line{What: "refused", ID: id, Status: http.StatusMisdirectedRequest})
		return
	}
	var turn chan struct{}
	if e.running >= e.slots {
		if len(e.waiting) >= e.queue {
			e.mu.Unlock()
			h.Set("Shallotring-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			e.write(line{What: "refused", ID: id, Status: http.StatusServiceUnavailable})
			return
		}
		turn = make(chan struct{})
		e.waiting = append(e.waiting, turn)
	} else {
		e.running++
	}
	e.uses[adapter]++
	e.mu.Unlock()
	defer e.release(adapter)
	budget := 30 * time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get("Shallotring-Deadline-Ms"), 64); err == nil {
		budget = time.Duration(ms * float64(time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(r.Context(), budget)
	defer cancel()
	if turn != nil && !e.await(ctx, turn) {
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		h.Set("Shallotring-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		e.write(line{What: "refused", ID: id, Status: http.StatusServiceUnavailable})
		return
	}
	if !e.readPrompt(ctx, r) {
		panic(http.ErrAbortHandler)
	}
	// A request begins to run with its first token.
	e.write(line{What: "runs", ID: id, Path: r.RequestURI, Adapter: adapter, Waited: time.Since(arrived).Milliseconds()})
	e.answer(ctx, w, r, id, body)
}

// readPrompt takes the time in which the prompt of a request is read; ok is false if the request ends before.
func (e *engine) readPrompt(ctx context.Context, r *http.Request) (ok bool) {
	left := 0.0 // milliseconds at the engine's usual speed
	for _, p := range strings.Split(r.Header.Get("Shallotring-Prompt-Prefix"), ",") {
		_, tokens, _ := strings.Cut(p, ":")
		n, _ := strconv.ParseFloat(tokens, 64)
		left += n
	}
	if left == 0 || e.reading == 0 {
		return true
	}
	left /= e.reading
	e.reader.Lock()
	defer e.reader.Unlock()
	const step = 10.0
	for start, n := time.Now(), 1; left > 0; n++ {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Until(start.Add(time.Duration(float64(n) * step * float64(time.Millisecond))))):
		}
		e.mu.Lock()
		left -= step / e.slow
		e.mu.Unlock()
	}
	return ctx.Err() == nil
}

// await waits for a slot; ok is false if the request has left the queue without one.
func (e *engine) await(ctx context.Context, turn chan struct{}) (ok bool) {
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.waiting, turn); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		// release counts a running request.
		e.running++
	}
	return false
}

// release gives the slot of a request to the next one that waits.
func (e *engine) release(adapter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.uses[adapter]--
	e.running--
	if len(e.waiting) > 0 && e.running < e.slots {
		close(e.waiting[0])
		e.waiting = e.waiting[1:]
		e.running++
	}
}

// piece returns the n-th piece of an answer, counted from 1: an event of a stream, or a line of another body.
func piece(id string, n int, stream bool) string {
	if stream {
		return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
	}
	return fmt.Sprintf("line %04d of the answer to %s\n", n, id)
}

func (e *engine) answer(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, body []byte) {
	stream := strings.HasPrefix(r.URL.Path, "/stream")
	contentType := "text/plain"
	if stream {
		contentType = "text/event-stream"
	}
	e.mu.Lock()
	pace := time.Duration(float64(e.pace) * e.slow)
	e.mu.Unlock()
	var out io.Writer = w
	flush := func() error { return http.NewResponseController(w).Flush() }
	if e.unframed {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = c.Close() }()
		out, flush = c, func() error { return nil }
		if _, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nConnection: close\r\nShallotring-Attempt-Id: %s\r\nShallotring-Server-Seal: seal-%s\r\n\r\n", contentType, id, id); err != nil {
			return
		}
	} else {
		w.Header().Set("Content-Type", contentType)
		w.Header().Set("Shallotring-Server-Seal", "seal-"+id)
	}
	for n := 1; n <= e.events; n++ {
		select {
		case <-time.After(pace):
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(out, piece(id, n, stream)); err != nil {
			panic(http.ErrAbortHandler)
		}
		if (stream || e.unframed) && flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	e.write(line{What: "ends", ID: id, Piece: e.events})
}
