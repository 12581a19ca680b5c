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

// callerHandler serves a request of an authenticated caller under one configuration.
type callerHandler func(w http.ResponseWriter, r *http.Request, snap *snapshot, c *resource.Caller)

// anonymousCaller is the name of every caller of an entry that requires no token. They all share one scope of
// idempotency keys, because keys are scoped to the caller's name.
const anonymousCaller ident.Caller = "anonymous"

func (e *Entry) routes() http.Handler {
	m := chi.NewRouter()
	m.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		e.reject(w, "", openai.NewError(http.StatusNotFound, "not_found", "no such path"))
	})
	m.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		e.reject(w, "", openai.NewError(http.StatusMethodNotAllowed, "method_not_allowed", "method is not allowed on this path"))
	})
	m.Get("/v1/models", e.authenticate(e.listModels))
	m.Get("/v1/requests/{id}", e.authenticate(e.showRequest))
	m.Post("/v1/completions", e.authenticate(e.completionHandler(openai.CompletionRequest)))
	m.Post("/v1/chat/completions", e.authenticate(e.completionHandler(openai.ChatRequest)))
	m.HandleFunc("/services/{service}", e.authenticate(e.servePlainService))
	m.HandleFunc("/services/{service}/*", e.authenticate(e.servePlainService))
	return m
}

// authenticate checks the size of the headers and the caller's token.
func (e *Entry) authenticate(next callerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if headerBytes(r) > e.settings.HeaderBytes {
			w.Header().Set("Connection", "close")
			e.reject(w, "", openai.NewError(http.StatusRequestHeaderFieldsTooLarge, "headers_too_large",
				"headers exceed "+strconv.Itoa(e.settings.HeaderBytes)+" bytes"))
			return
		}
		snap := e.current()
		if e.settings.AllowAnonymous {
			next(w, r, snap, &resource.Caller{Name: anonymousCaller})
			return
		}
		authScheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		c, ok := snap.caller(token)
		if reason := e.refusalReason(); !ok && reason != "" {
			// A process without a current configuration may lack this caller, so its token is not reported as invalid.
			e.reject(w, "", openai.NewError(http.StatusServiceUnavailable, string(outcome.Isolated), reason))
			return
		}
		if !ok || !strings.EqualFold(authScheme, "Bearer") {
			w.Header().Set("WWW-Authenticate", "Bearer")
			if r.ContentLength != 0 {
				// Otherwise net/http reads the body of an unauthenticated caller before it responds.
				w.Header().Set("Connection", "close")
			}
			e.reject(w, "", openai.NewError(http.StatusUnauthorized, "invalid_token", "a known bearer token is required"))
			return
		}
		next(w, r, snap, c)
	}
}

// headerBytes counts the request line and the headers as they were sent.
func headerBytes(r *http.Request) (n int) {
	n = len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

func (e *Entry) listModels(w http.ResponseWriter, _ *http.Request, snap *snapshot, _ *resource.Caller) {
	w.Header().Set("Content-Type", contentJSON)
	w.Write(snap.modelList)
}

func (e *Entry) showRequest(w http.ResponseWriter, r *http.Request, _ *snapshot, c *resource.Caller) {
	record, ok := e.records.get(c.Name, ident.RequestID(chi.URLParam(r, "id")))
	if !ok {
		e.reject(w, c.Name, openai.NewError(http.StatusNotFound, "request_not_found", "no record of a request with this id"))
		return
	}
	writeJSON(w, http.StatusOK, record)
}

// completionHandler serves completion and chat completion requests.
func (e *Entry) completionHandler(kind openai.Kind) callerHandler {
	return func(w http.ResponseWriter, r *http.Request, snap *snapshot, c *resource.Caller) {
		x := e.newExchange(w, r, c)
		defer x.release()
		err := x.readHeaders(snap, 0)
		if err == nil {
			err = x.readBody()
		}
		if err == nil {
			err = x.resolveModel(snap, kind)
		}
		x.serve(err)
	}
}

// servePlainService serves requests to a plain service.
func (e *Entry) servePlainService(w http.ResponseWriter, r *http.Request, snap *snapshot, c *resource.Caller) {
	x := e.newExchange(w, r, c)
	defer x.release()
	name := ident.Service(chi.URLParam(r, "service"))
	route, err := x.resolveService(snap, name)
	if err == nil {
		err = x.readHeaders(snap, time.Duration(route.Timeout))
	}
	if err == nil && route.NonRepeatable && x.key == "" {
		err = openai.NewError(http.StatusBadRequest, "missing_idempotency_key", "this route requires the header "+HeaderKey)
	}
	if err == nil {
		err = x.readBody()
	}
	x.serve(err)
}

// servicePath returns the path below the service: routePath is unescaped and without query, requestPath is as sent. A path
// that is not clean is refused, because the service could resolve it to a non-repeatable route that the entry did not
// recognise.
func servicePath(r *http.Request, name ident.Service) (routePath, requestPath string, err *openai.Error) {
	prefix := "/services/" + string(name)
	routePath = strings.TrimPrefix(r.URL.Path, prefix)
	requestPath = strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	if routePath == "" {
		routePath, requestPath = "/", "/"
	}
	clean := path.Clean(routePath)
	if clean != "/" && strings.HasSuffix(routePath, "/") {
		clean += "/"
	}
	if clean != routePath || !strings.HasPrefix(r.URL.EscapedPath(), prefix) {
		return "", "", openai.NewError(http.StatusBadRequest, "invalid_path", "path must not contain empty, . or .. elements")
	}
	if r.URL.RawQuery != "" {
		requestPath += "?" + r.URL.RawQuery
	}
	return routePath, requestPath, nil
}

// reject responds to a call that is refused before an exchange exists; caller is empty if it is not authenticated.
func (e *Entry) reject(w http.ResponseWriter, caller ident.Caller, err *openai.Error) {
	id := ident.NewRequestID()
	w.Header().Set(HeaderRequest, string(id))
	w.Header().Set(HeaderOutcome, string(outcome.NotRun))
	reason := outcome.Reason(err.Code)
	e.meters.refusalCounter(reason).Inc()
	e.log.Event(timeline.Event{
		Kind: timeline.RequestRefused, RequestID: id, Caller: caller, Outcome: outcome.NotRun, Reason: reason, Status: err.Status,
	})
	writeRejection(w, err)
}

func writeRejection(w http.ResponseWriter, err *openai.Error) {
	var retryAfter time.Duration
	if err.Status == http.StatusServiceUnavailable {
		retryAfter = minRetryAfter
	}
	writeError(w, err, retryAfter)
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
