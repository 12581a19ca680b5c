package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"

	"github.com/go-chi/chi/v5"
)

// Headers of the engine API.
const (
	HeaderStartID   = "Engine-Start-Id"
	HeaderFencing   = "Fencing-Number"
	HeaderRequestID = "X-Request-Id"
)

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
	Digest  string `json:"digest,omitempty"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type loadCommand struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

type cancelCommand struct {
	RequestID string `json:"request_id"`
}

type runningEntry struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
}

type runningList struct {
	Requests []runningEntry `json:"requests"`
}

type loadReport struct {
	Running   int `json:"running"`
	Waiting   int `json:"waiting"`
	BatchSize int `json:"batch_size"`
	Slots     int `json:"slots"`
}

type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

type errorBody struct {
	Error apiError `json:"error"`
}

// Handler serves the engine API, GET /journal, from which tests read what ran, and POST /fault/restart, /fault/hold and
// /fault/release.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(e.addStartID)
	r.Get("/v1/models", e.listModels)
	r.Get("/running", e.listRunning)
	r.Get("/load", e.showLoad)
	r.Get("/journal", e.showJournal)
	r.Post("/fault/restart", func(http.ResponseWriter, *http.Request) { e.Restart() })
	r.Post("/fault/hold", func(http.ResponseWriter, *http.Request) { e.Hold() })
	r.Post("/fault/release", func(http.ResponseWriter, *http.Request) { e.Release() })
	r.Group(func(r chi.Router) {
		r.Use(e.rejectStaleCommands)
		r.Post("/v1/completions", e.completions)
		r.Post("/v1/chat/completions", e.chatCompletions)
		r.Post("/v1/load_lora_adapter", e.loadAdapter)
		r.Post("/v1/unload_lora_adapter", e.unloadAdapter)
		r.Post("/cancel", e.cancelRequest)
	})
	return r
}

// addStartID sets the engine's start id on each response.
func (e *Engine) addStartID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		id := e.startID
		e.mu.Unlock()
		w.Header().Set(HeaderStartID, string(id))
		next.ServeHTTP(w, r)
	})
}

// rejectStaleCommands refuses commands with a stale fencing number if the engine checks fencing numbers.
func (e *Engine) rejectStaleCommands(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.recordFencing(r.URL.Path, fencingNumber(r)) {
			writeStaleError(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func fencingNumber(r *http.Request) (number int64) {
	number, _ = strconv.ParseInt(r.Header.Get(HeaderFencing), 10, 64)
	return number
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	list := modelList{Object: "list", Data: []modelEntry{{ID: string(e.baseModel), Object: "model", OwnedBy: "engine"}}}
	for n, a := range e.adapters {
		list.Data = append(list.Data, modelEntry{ID: n, Object: "model", OwnedBy: "engine", Parent: string(e.baseModel), Digest: a.digest})
	}
	e.mu.Unlock()
	slices.SortFunc(list.Data[1:], func(a, b modelEntry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	writeJSON(w, http.StatusOK, list)
}

func (e *Engine) listRunning(w http.ResponseWriter, _ *http.Request) {
	list := runningList{Requests: []runningEntry{}}
	e.mu.Lock()
	for r := range e.running {
		list.Requests = append(list.Requests, runningEntry{RequestID: r.id, Model: r.model})
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

// JournalReport is the response to GET /journal.
type JournalReport struct {
	Runs           []Run
	EvictionsInUse []string
	StaleCommands  []string
}

func (e *Engine) showJournal(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, JournalReport{Runs: e.Journal(), EvictionsInUse: e.EvictionsInUse(), StaleCommands: e.StaleCommands()})
}

func (e *Engine) showLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	r := loadReport{Running: len(e.running), Waiting: e.waiting, BatchSize: cap(e.batch), Slots: e.slots}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, r)
}

func (e *Engine) loadAdapter(w http.ResponseWriter, r *http.Request) {
	var c loadCommand
	if !readJSON(w, r, &c) {
		return
	}
	err := e.load(r.Context(), c.Name, c.Path, fencingNumber(r))
	switch {
	case errors.Is(err, errStaleFencing):
		writeStaleError(w)
	case errors.Is(err, errNoSlot):
		writeError(w, http.StatusConflict, "no_slot", err.Error())
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, "load_failed", err.Error())
	default:
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (e *Engine) unloadAdapter(w http.ResponseWriter, r *http.Request) {
	var c loadCommand
	if !readJSON(w, r, &c) {
		return
	}
	err := e.unload(c.Name, fencingNumber(r))
	if errors.Is(err, errStaleFencing) {
		writeStaleError(w)
		return
	}
	if err != nil {
		writeError(w, http.StatusNotFound, "not_loaded", err.Error())
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) cancelRequest(w http.ResponseWriter, r *http.Request) {
	var c cancelCommand
	if !readJSON(w, r, &c) {
		return
	}
	if !e.cancel(c.RequestID) {
		writeError(w, http.StatusNotFound, "not_running", "no such request is running")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeStaleError(w http.ResponseWriter) {
	writeError(w, http.StatusPreconditionFailed, "old_fencing_number", errStaleFencing.Error())
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{Error: apiError{Message: message, Type: "engine_error", Code: code}})
}
