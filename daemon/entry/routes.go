package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"shallotring.dev/protocol/openai"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/timeline"
)

// Headers of the callers' API.
const (
	HeaderRequest  = "Shallotring-Request"
	HeaderAdapter  = "Shallotring-Adapter"
	HeaderOutcome  = "Shallotring-Outcome"
	HeaderDeadline = "Shallotring-Deadline"
	HeaderKey      = "Idempotency-Key"
)

const (
	maxKeyBytes = 255
	contentJSON = "application/json"
)

// authenticated serves a request of a known caller under one configuration.
type authenticated func(w http.ResponseWriter, r *http.Request, v *view, c *resource.Caller)

// anonymousCaller names every caller of an entry that asks for no token; idempotency keys are scoped to a name.
const anonymousCaller ident.Caller = "anonymous"

func (e *Entry) routes() http.Handler {
	m := chi.NewRouter()
	m.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		e.reject(w, "", openai.NewError(http.StatusNotFound, "not_found", "no such path"))
	})
	m.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		e.reject(w, "", openai.NewError(http.StatusMethodNotAllowed, "method_not_allowed", "method is not allowed on this path"))
	})
	m.Get("/v1/models", e.authenticate(e.models))
	m.Get("/v1/requests/{id}", e.authenticate(e.showRequest))
	m.Post("/v1/completions", e.authenticate(e.model(openai.CompletionRequest)))
	m.Post("/v1/chat/completions", e.authenticate(e.model(openai.ChatRequest)))
	m.HandleFunc("/services/{service}", e.authenticate(e.service))
	m.HandleFunc("/services/{service}/*", e.authenticate(e.service))
	return m
}

// authenticate checks the header's size and the caller's token.
func (e *Entry) authenticate(next authenticated) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if headerBytes(r) > e.settings.HeaderBytes {
			w.Header().Set("Connection", "close")
			e.reject(w, "", openai.NewError(http.StatusRequestHeaderFieldsTooLarge, "headers_too_large",
				"headers exceed "+strconv.Itoa(e.settings.HeaderBytes)+" bytes"))
			return
		}
		v := e.current()
		if e.settings.AllowAnonymous {
			next(w, r, v, &resource.Caller{Name: anonymousCaller})
			return
		}
		scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		c, ok := v.caller(token)
		if reason := e.refusing(); !ok && reason != "" {
			// Without its configuration the process knows no caller.
			e.reject(w, "", openai.NewError(http.StatusServiceUnavailable, string(outcome.Isolated), reason))
			return
		}
		if !ok || !strings.EqualFold(scheme, "Bearer") {
			w.Header().Set("WWW-Authenticate", "Bearer")
			if r.ContentLength != 0 {
				// net/http otherwise reads from an unknown caller's body before it responds.
				w.Header().Set("Connection", "close")
			}
			e.reject(w, "", openai.NewError(http.StatusUnauthorized, "invalid_token", "a known bearer token is required"))
			return
		}
		next(w, r, v, c)
	}
}

// headerBytes counts the request line and the headers as they were sent.
func headerBytes(r *http.Request) (n int) {
	n = len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, x := range values {
			n += len(name) + len(x) + len(": \r\n")
		}
	}
	return n
}

func (e *Entry) models(w http.ResponseWriter, _ *http.Request, v *view, _ *resource.Caller) {
	w.Header().Set("Content-Type", contentJSON)
	w.Write(v.models)
}

func (e *Entry) showRequest(w http.ResponseWriter, r *http.Request, _ *view, c *resource.Caller) {
	x, ok := e.records.get(c.Name, ident.RequestID(chi.URLParam(r, "id")))
	if !ok {
		e.reject(w, c.Name, openai.NewError(http.StatusNotFound, "request_not_found", "no record of a request with this id"))
		return
	}
	writeJSON(w, http.StatusOK, x)
}

// model serves a completion call.
func (e *Entry) model(kind openai.Kind) authenticated {
	return func(w http.ResponseWriter, r *http.Request, v *view, c *resource.Caller) {
		x := e.newExchange(w, r, c)
		defer x.release()
		err := x.readHeaders(v, 0)
		if err == nil {
			err = x.readBody()
		}
		if err == nil {
			err = x.resolveModel(v, kind)
		}
		x.serve(err)
	}
}

// service serves a call of a plain service.
func (e *Entry) service(w http.ResponseWriter, r *http.Request, v *view, c *resource.Caller) {
	x := e.newExchange(w, r, c)
	defer x.release()
	name := ident.Service(chi.URLParam(r, "service"))
	route, err := x.resolveService(v, name)
	if err == nil {
		err = x.readHeaders(v, time.Duration(route.Timeout))
	}
	if err == nil && route.NonRepeatable && x.key == "" {
		err = openai.NewError(http.StatusBadRequest, "missing_idempotency_key", "this route requires the header "+HeaderKey)
	}
	if err == nil {
		err = x.readBody()
	}
	x.serve(err)
}

// servicePath returns the path below the service. A path that is not in its shortest form is refused, because the
// service could read it as one of a non-repeatable route that the entry did not recognise.
func servicePath(r *http.Request, name ident.Service) (plain, full string, err *openai.Error) {
	prefix := "/services/" + string(name)
	plain = strings.TrimPrefix(r.URL.Path, prefix)
	full = strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	if plain == "" {
		plain, full = "/", "/"
	}
	clean := path.Clean(plain)
	if clean != "/" && strings.HasSuffix(plain, "/") {
		clean += "/"
	}
	if clean != plain || !strings.HasPrefix(r.URL.EscapedPath(), prefix) {
		return "", "", openai.NewError(http.StatusBadRequest, "invalid_path", "path must not contain empty, . or .. elements")
	}
	if r.URL.RawQuery != "" {
		full += "?" + r.URL.RawQuery
	}
	return plain, full, nil
}

// reject answers a call that was refused before it became a request of a known caller; caller is empty if it is not known.
func (e *Entry) reject(w http.ResponseWriter, caller ident.Caller, err *openai.Error) {
	id := ident.NewRequestID()
	w.Header().Set(HeaderRequest, string(id))
	w.Header().Set(HeaderOutcome, string(outcome.NotRun))
	reason := outcome.Reason(err.Code)
	e.meters.refusals(reason).Inc()
	e.log.Event(timeline.Event{
		Kind: timeline.RequestRefused, RequestID: id, Caller: caller, Outcome: outcome.NotRun, Reason: reason, Status: err.Status,
	})
	writeRejection(w, err)
}

func writeRejection(w http.ResponseWriter, err *openai.Error) {
	var after time.Duration
	if err.Status == http.StatusServiceUnavailable {
		after = minRetryAfter
	}
	writeError(w, err, after)
}

func writeError(w http.ResponseWriter, err *openai.Error, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	writeJSON(w, err.Status, openai.ErrorResponse{Error: err})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	text, _ := json.Marshal(v) // the types of this package always marshal
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(status)
	w.Write(text)
}
