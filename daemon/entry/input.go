package entry

import (
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotring.dev/protocol/openai"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/resource"
)

const (
	firstBodyBytes = 4 << 10
	// prefixBytes is the beginning of the input by which requests with a shared prefix are recognised.
	prefixBytes   = 1024
	bytesPerToken = 4
)

// readHeaders takes deadline and idempotency key from the headers.
func (x *exchange) readHeaders(v *view, timeout time.Duration) (err *openai.Error) {
	x.deadline = x.received.Add(x.entry.settings.RequestTimeout)
	if timeout > 0 {
		x.deadline = x.received.Add(timeout)
	}
	if text := x.in.Header.Get(HeaderDeadline); text != "" {
		t, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return openai.NewError(http.StatusBadRequest, "invalid_deadline", HeaderDeadline+" must be an RFC 3339 time")
		}
		if !x.received.Before(t) {
			return openai.NewError(http.StatusRequestTimeout, "deadline_expired", "the deadline has passed")
		}
		x.deadline = t
	}
	keys := x.in.Header.Values(HeaderKey)
	if len(keys) == 0 {
		return nil
	}
	if len(keys) > 1 || !validKey(keys[0]) {
		return openai.NewError(http.StatusBadRequest, "invalid_idempotency_key",
			HeaderKey+" must be one value of 1 to 255 visible ASCII characters")
	}
	x.key = ident.Key(keys[0])
	if t, ok := keyTime(keys[0]); ok && x.received.Sub(t) > time.Duration(v.Policy().KeyRetention) {
		return keyExpired()
	}
	return nil
}

func keyExpired() *openai.Error {
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

// keyTime returns the time that a UUID of version 7 carries in its first 48 bits, in milliseconds.
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

// readBody reads the body within its limit and within the memory that all bodies together may take.
func (x *exchange) readBody() (err *openai.Error) {
	limit := x.entry.settings.BodyBytes
	if x.in.ContentLength > limit {
		return x.bodyTooLarge()
	}
	size := int64(firstBodyBytes)
	if n := x.in.ContentLength; n >= 0 {
		size = min(size, n+1)
	}
	if !x.charge(size) {
		return bodiesFull()
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			grown := min(2*int64(cap(body)), limit+1)
			if !x.charge(grown - int64(cap(body))) {
				return bodiesFull()
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := x.in.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			return x.bodyTooLarge()
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.bodyFailed(err)
		}
	}
	// The read timeout of the listener covers the body only; left in place it would end a long response.
	_ = x.out.control.SetReadDeadline(time.Time{})
	x.body = body
	return nil
}

// charge counts memory of the body; release gives it back.
func (x *exchange) charge(n int64) bool {
	x.charged += n
	return x.entry.bodies.Add(n) <= x.entry.settings.BodyBytesTotal
}

func (x *exchange) bodyTooLarge() *openai.Error {
	x.out.w.Header().Set("Connection", "close")
	return openai.NewError(http.StatusRequestEntityTooLarge, "body_too_large",
		"body exceeds "+strconv.FormatInt(x.entry.settings.BodyBytes, 10)+" bytes")
}

func (x *exchange) bodyFailed(err error) *openai.Error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return x.bodyTooLarge()
	}
	x.out.w.Header().Set("Connection", "close")
	return openai.NewError(http.StatusRequestTimeout, "body_incomplete", "the body did not arrive completely in time")
}

func bodiesFull() *openai.Error {
	return openai.NewError(http.StatusServiceUnavailable, "overloaded", "too many request bodies in progress")
}

// resolveModel names adapter and version and rewrites the body to them.
func (x *exchange) resolveModel(v *view, kind openai.Kind) (failure *openai.Error) {
	r, err := openai.Parse(kind, x.body)
	if errors.As(err, &failure) {
		return failure
	}
	named := ident.ParseAdapterVersion(r.Model)
	a, ok := v.Adapter(named.Adapter)
	if !ok {
		return notFound("model " + r.Model + " does not exist")
	}
	av, ok := a.Version(named.Version)
	if !ok || strings.HasSuffix(r.Model, "@") {
		return notFound("model " + string(a.Name) + " has no such version")
	}
	x.adapter = ident.AdapterVersion{Adapter: a.Name, Version: av.Version}
	x.revision = v.ResourceRevision(resource.Name{Kind: resource.KindAdapter, Name: string(a.Name)})
	x.stream = r.Stream
	x.path = x.in.URL.Path
	x.query = placement.Query{
		BaseModel:    a.BaseModel,
		Adapter:      x.adapter,
		PromptTokens: ident.Tokens(len(r.Input) / bytesPerToken),
	}
	if len(r.Input) >= prefixBytes {
		x.query.Prefix = xxhash.Sum64(r.Input[:prefixBytes])
	}
	x.engineBody = r.Body(x.adapter.String())
	return nil
}

// resolveService names the service and finds its route; a path without a route is repeatable.
func (x *exchange) resolveService(v *view, name ident.Service) (route *resource.Route, err *openai.Error) {
	if !v.services[name] {
		return nil, notFound("service " + string(name) + " does not exist")
	}
	plain, full, err := servicePath(x.in, name)
	if err != nil {
		return nil, err
	}
	x.service, x.path = name, full
	x.query = placement.Query{Service: name}
	route, ok := v.Route(name, x.in.Method, plain)
	if !ok {
		route = &resource.Route{}
	}
	return route, nil
}

func notFound(message string) *openai.Error {
	return openai.NewError(http.StatusNotFound, "model_not_found", message)
}
