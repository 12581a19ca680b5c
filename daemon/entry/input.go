package entry

import (
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotring.dev/protocol/openai"
	"shallotring.dev/state/holding"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/guard"
)

const (
	// prefixBytes is the length of the input prefix whose hash identifies requests with a shared prefix.
	prefixBytes = 1024
	// bytesPerToken estimates the tokens of a prompt from its size.
	bytesPerToken = 4
)

// readHeaders reads the deadline and the idempotency key from the headers. Without a deadline header, the deadline follows
// from routeTimeout or, if it is zero, from the setting RequestTimeout.
func (x *exchange) readHeaders(snap *snapshot, routeTimeout time.Duration) (err *openai.Error) {
	x.deadline = x.received.Add(x.entry.settings.RequestTimeout)
	if routeTimeout > 0 {
		x.deadline = x.received.Add(routeTimeout)
	}
	if text := x.request.Header.Get(HeaderDeadline); text != "" {
		t, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return openai.NewError(http.StatusBadRequest, "invalid_deadline", HeaderDeadline+" must be an RFC 3339 time")
		}
		if !x.received.Before(t) {
			return openai.NewError(http.StatusRequestTimeout, "deadline_expired", "the deadline has passed")
		}
		x.deadline = t
	}
	keys := x.request.Header.Values(HeaderKey)
	if len(keys) == 0 {
		return nil
	}
	if len(keys) > 1 || !validKey(keys[0]) {
		return openai.NewError(http.StatusBadRequest, "invalid_idempotency_key",
			HeaderKey+" must be one value of 1 to 255 visible ASCII characters")
	}
	x.key = ident.Key(keys[0])
	if t, ok := keyTime(keys[0]); ok && x.received.Sub(t) > time.Duration(snap.Policy().KeyRetention) {
		return keyExpiredError()
	}
	return nil
}

func keyExpiredError() *openai.Error {
	return openai.NewError(http.StatusUnprocessableEntity, "key_expired", HeaderKey+" is older than the retention of keys")
}

func validKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// keyTime returns the creation time of a key that is a version 7 UUID: its first 48 bits are Unix milliseconds.
func keyTime(key string) (t time.Time, ok bool) {
	if len(key) != 36 || key[8] != '-' || key[13] != '-' || key[14] != '7' || key[18] != '-' || key[23] != '-' {
		return t, false
	}
	b, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || b[8]&0xc0 != 0x80 {
		return t, false
	}
	var ms int64
	for _, c := range b[:6] {
		ms = ms<<8 | int64(c)
	}
	return time.UnixMilli(ms), true
}

// readBody reads the body within BodyBytes and within the memory that callers may hold.
func (x *exchange) readBody() (err *openai.Error) {
	if x.request.ContentLength != 0 {
		body, err := x.conn.ReadBody(x.request.Body, x.request.ContentLength, x.entry.settings.BodyBytes)
		if err != nil {
			return x.bodyReadError(err)
		}
		// The listener's read timeout is meant for the body only; if it stayed set, it would end a long response.
		_ = x.response.controller.SetReadDeadline(time.Time{})
		x.body = body
		if !x.conn.Take(x.bodyCopies() * int64(len(body))) {
			return x.bodyReadError(guard.ErrGaveWay)
		}
	}
	if !x.conn.Enter(holding.Running) {
		return x.bodyReadError(guard.ErrGaveWay)
	}
	return nil
}

// bodyCopies returns the number of copies of the body that the request makes: one in the message to the agent, and for a model one with the
// adapter version in it.
func (x *exchange) bodyCopies() int64 {
	if x.service != "" {
		return 1
	}
	return 2
}

// bodyReadError returns the error of a body that was not read to its end, and closes the connection without reading the rest.
func (x *exchange) bodyReadError(err error) *openai.Error {
	x.conn.AbortClosed()
	x.response.w.Header().Set("Connection", "close")
	// Otherwise net/http waits for a part of the rest of the body.
	_ = x.response.controller.SetReadDeadline(time.Unix(1, 0))
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, guard.ErrTooLarge) || errors.As(err, &large):
		return openai.NewError(http.StatusRequestEntityTooLarge, "body_too_large",
			"body exceeds "+strconv.FormatInt(x.entry.settings.BodyBytes, 10)+" bytes")
	case errors.Is(err, guard.ErrGaveWay):
		return openai.NewError(http.StatusServiceUnavailable, "overloaded", "too many request bodies in progress")
	}
	return openai.NewError(http.StatusRequestTimeout, "body_incomplete", "the body did not arrive completely in time")
}

// resolveModel finds the adapter version that the body's model names and rewrites the model in the body to it.
func (x *exchange) resolveModel(snap *snapshot, kind openai.Kind) (failure *openai.Error) {
	parsed, err := openai.Parse(kind, x.body)
	if errors.As(err, &failure) {
		return failure
	}
	requested := ident.ParseAdapterVersion(parsed.Model)
	adapter, ok := snap.Adapter(requested.Adapter)
	if !ok {
		return notFoundError("model " + parsed.Model + " does not exist")
	}
	version, ok := adapter.Version(requested.Version)
	// An empty version after "@" is an error; only a model without "@" selects the default version.
	if !ok || strings.HasSuffix(parsed.Model, "@") {
		return notFoundError("model " + string(adapter.Name) + " has no such version")
	}
	x.adapter = ident.AdapterVersion{Adapter: adapter.Name, Version: version.Version}
	x.revision = snap.ResourceRevision(resource.Name{Kind: resource.KindAdapter, Name: string(adapter.Name)})
	x.stream = parsed.Stream
	x.path = x.request.URL.Path
	x.query = placement.Query{
		BaseModel:    adapter.BaseModel,
		Adapter:      x.adapter,
		PromptTokens: ident.Tokens(len(parsed.Input) / bytesPerToken),
	}
	if len(parsed.Input) >= prefixBytes {
		x.query.Prefix = xxhash.Sum64(parsed.Input[:prefixBytes])
	}
	x.engineBody = parsed.Body(x.adapter.String())
	return nil
}

// resolveService finds the service and the route of the path; a request that matches no route
// counts as repeatable.
func (x *exchange) resolveService(snap *snapshot, name ident.Service) (route *resource.Route, err *openai.Error) {
	if !snap.services[name] {
		return nil, notFoundError("service " + string(name) + " does not exist")
	}
	routePath, requestPath, err := servicePath(x.request, name)
	if err != nil {
		return nil, err
	}
	x.service, x.path = name, requestPath
	x.query = placement.Query{Service: name}
	route, ok := snap.Route(name, x.request.Method, routePath)
	if !ok {
		route = &resource.Route{}
	}
	return route, nil
}

func notFoundError(message string) *openai.Error {
	return openai.NewError(http.StatusNotFound, "model_not_found", message)
}
