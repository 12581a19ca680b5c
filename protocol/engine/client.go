package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// Header names of the endpoint's API.
const (
	HeaderStartID        = "Engine-Start-Id"
	HeaderFencing        = "Fencing-Number"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "X-Request-Priority"
)

const (
	// maxAnswerBytes bounds the answers of commands and lists.
	maxAnswerBytes = 4 << 20
	// writeBufferBytes lets most requests leave in one write, whose guard is then the last check of the whole request.
	writeBufferBytes = 64 << 10
)

// Client calls one endpoint; it is safe for concurrent use.
type Client struct {
	base *url.URL
	// commands checks the guard at each write to a connection; lists are read without it.
	commands *http.Client
	lists    *http.Client
	dial     Dial
	guard    func() (err error)
	observed func(ident.StartID)
	// pollEvery is the time between two looks at the list of adapters during a load or unload.
	pollEvery time.Duration
	after     func(d time.Duration) <-chan time.Time
}

// Option changes how a client is built.
type Option func(*Client)

// WithDial replaces how connections are opened.
func WithDial(dial Dial) Option { return func(c *Client) { c.dial = dial } }

// WithGuard sets a check that is made immediately before each command and request is sent; its error stops the call.
func WithGuard(guard func() (err error)) Option { return func(c *Client) { c.guard = guard } }

// WithObserver is told the start id in each answer before the answer is used.
func WithObserver(fn func(ident.StartID)) Option { return func(c *Client) { c.observed = fn } }

// WithPoll replaces the wait between two looks at the list of adapters.
func WithPoll(every time.Duration, after func(d time.Duration) <-chan time.Time) Option {
	return func(c *Client) { c.pollEvery, c.after = every, after }
}

// New returns a client of the endpoint at the base URL.
func New(base string, options ...Option) (c *Client, err error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, eris.Wrap(err, "parse base URL")
	}
	if u.Scheme == "" || u.Host == "" {
		return nil, eris.Errorf("base URL %q must have a scheme and a host", base)
	}
	c = &Client{
		base:      u,
		dial:      (&net.Dialer{}).DialContext,
		guard:     func() error { return nil },
		observed:  func(ident.StartID) {},
		pollEvery: 20 * time.Millisecond,
		after:     time.After,
	}
	for _, o := range options {
		o(c)
	}
	c.commands = newHTTPClient(guardedDial(c.dial, c.guard))
	c.lists = newHTTPClient(c.dial)
	return c, nil
}

func newHTTPClient(dial Dial) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, WriteBufferSize: writeBufferBytes,
		},
		// A redirect would repeat a request at an address that no operator declared.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.commands.CloseIdleConnections()
	c.lists.CloseIdleConnections()
}

// Model is one adapter that the engine lists.
type Model struct {
	Adapter ident.AdapterVersion
	Digest  string
}

// Request is one request that the engine runs.
type Request struct {
	ID      string
	Adapter ident.AdapterVersion
}

// Models lists the loaded adapters and the start id of the process that answered.
func (c *Client) Models(ctx context.Context) (list []Model, id ident.StartID, err error) {
	defer func() { err = eris.Wrap(err, "list adapters") }()
	var body struct {
		Data []struct {
			ID     string `json:"id"`
			Digest string `json:"digest"`
		} `json:"data"`
	}
	id, err = c.get(ctx, "/v1/models", &body)
	for _, m := range body.Data {
		// Base models are listed without a version and take no slot.
		if av := ident.ParseAdapterVersion(m.ID); av.Version != "" {
			list = append(list, Model{Adapter: av, Digest: m.Digest})
		}
	}
	return list, id, err
}

// Running lists the running requests and the start id of the process that answered.
func (c *Client) Running(ctx context.Context) (list []Request, id ident.StartID, err error) {
	defer func() { err = eris.Wrap(err, "list running requests") }()
	var body struct {
		Requests []struct {
			RequestID string `json:"request_id"`
			Model     string `json:"model"`
		} `json:"requests"`
	}
	id, err = c.get(ctx, "/running", &body)
	for _, r := range body.Requests {
		list = append(list, Request{ID: r.RequestID, Adapter: ident.ParseAdapterVersion(r.Model)})
	}
	return list, id, err
}

// Load loads an adapter and waits until the engine lists it with a digest, which it returns.
func (c *Client) Load(ctx context.Context, f ident.Incarnation, av ident.AdapterVersion, path string) (digest string, err error) {
	defer func() { err = eris.Wrapf(err, "load %s", av) }()
	err = c.command(ctx, f, "/v1/load_lora_adapter", map[string]string{"lora_name": av.String(), "lora_path": path})
	if err != nil {
		return "", err
	}
	err = c.poll(ctx, func(m []Model) bool {
		for _, x := range m {
			if x.Adapter == av && x.Digest != "" {
				digest = x.Digest
			}
		}
		return digest != ""
	})
	return digest, err
}

// Unload evicts an adapter and waits until the engine no longer lists it.
func (c *Client) Unload(ctx context.Context, f ident.Incarnation, av ident.AdapterVersion) (err error) {
	defer func() { err = eris.Wrapf(err, "unload %s", av) }()
	err = c.command(ctx, f, "/v1/unload_lora_adapter", map[string]string{"lora_name": av.String()})
	var e *CallError
	if eris.As(err, &e) && e.Status == http.StatusNotFound {
		err = nil
	}
	if err != nil {
		return err
	}
	return c.poll(ctx, func(m []Model) bool {
		for _, x := range m {
			if x.Adapter == av {
				return false
			}
		}
		return true
	})
}

// Cancel stops a request by the engine's id of it.
func (c *Client) Cancel(ctx context.Context, f ident.Incarnation, id string) (err error) {
	defer func() { err = eris.Wrap(err, "cancel request") }()
	err = c.command(ctx, f, "/cancel", map[string]string{"request_id": id})
	var e *CallError
	if eris.As(err, &e) && e.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// poll looks at the list of adapters until ok or the end of ctx; its errors leave the effect of the command open.
func (c *Client) poll(ctx context.Context, ok func([]Model) bool) (err error) {
	for {
		list, _, err := c.Models(ctx)
		if err == nil && ok(list) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &CallError{Effect: MayHaveEffect, Err: eris.Wrap(ctx.Err(), "the list does not show the change")}
		case <-c.after(c.pollEvery):
		}
	}
}

func (c *Client) get(ctx context.Context, path string, into any) (id ident.StartID, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(path), http.NoBody)
	if err != nil {
		return "", err
	}
	resp, err := c.lists.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	id = ident.StartID(resp.Header.Get(HeaderStartID))
	c.observed(id)
	if resp.StatusCode != http.StatusOK {
		return id, eris.Errorf("status %d", resp.StatusCode)
	}
	return id, json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(into)
}

func (c *Client) command(ctx context.Context, f ident.Incarnation, path string, body any) (err error) {
	text, err := json.Marshal(body)
	if err != nil {
		return &CallError{Effect: NoEffect, Err: err}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(path), bytes.NewReader(text))
	if err != nil {
		return &CallError{Effect: NoEffect, Err: err}
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.send(r, f)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		return &CallError{Effect: MayHaveEffect, Status: resp.StatusCode, Err: err}
	}
	return commandError(resp.StatusCode)
}

// commandError classifies the status of a command. A client error means that the engine has refused it.
func commandError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout:
		return &CallError{Effect: NoEffect, Status: status, Err: eris.Errorf("status %d", status)}
	}
	return &CallError{Effect: MayHaveEffect, Status: status, Err: eris.Errorf("status %d", status)}
}

// send makes the last check and sends a command or request with its fencing number.
func (c *Client) send(r *http.Request, f ident.Incarnation) (resp *http.Response, err error) {
	r.Header.Set(HeaderFencing, strconv.FormatInt(int64(f), 10))
	// net/http sends a request a second time on its own if the method or an Idempotency-Key header makes it look
	// repeatable and the body is empty or can be read again, so the body is made one that can be read once.
	r.GetBody = nil
	if r.Body == http.NoBody {
		r.Body = io.NopCloser(strings.NewReader(""))
	}
	trace := &connectTrace{}
	if err = c.guard(); err != nil {
		return nil, &CallError{Effect: NoEffect, Err: err}
	}
	resp, err = c.commands.Do(trace.attach(r))
	if err != nil {
		return nil, &CallError{Effect: trace.effect(err), Err: withoutURL(trace.cause(err))}
	}
	c.observed(ident.StartID(resp.Header.Get(HeaderStartID)))
	if resp.StatusCode == http.StatusPreconditionFailed && resp.Header.Get(HeaderStartID) != "" {
		resp.Body.Close()
		return nil, &CallError{Effect: NoEffect, Status: resp.StatusCode, Err: ErrFenced}
	}
	return resp, nil
}

func (c *Client) url(path string) string {
	return strings.TrimSuffix(c.base.String(), "/") + "/" + strings.TrimPrefix(path, "/")
}

// withoutURL drops the URL from an error of net/http, because the query of a service call belongs to its caller and errors
// go into the log.
func withoutURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}
