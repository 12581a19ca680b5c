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

	"shallotring.dev/protocol/jsonvalue"
	"shallotring.dev/protocol/roundtrip"
	"shallotring.dev/state/ident"
)

// Names of the headers of the endpoint's API.
const (
	HeaderStartID        = "Engine-Start-Id"
	HeaderFencing        = "Fencing-Number"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "X-Request-Priority"
)

const (
	// maxResponseBytes limits the responses to commands and list calls.
	maxResponseBytes = 4 << 20
	// writeBufferBytes lets most requests be sent in one write, so that one guard check covers the whole request.
	writeBufferBytes = 64 << 10
)

// Client calls one endpoint; it is safe for concurrent use.
type Client struct {
	baseURL *url.URL
	// commandClient calls guard before each write to a connection; listClient, which only reads lists, does not.
	commandClient *http.Client
	listClient    *http.Client
	dial          Dial
	// guard returns an error if nothing may be sent now, for example because the agent has lost its claim.
	guard    func() (err error)
	observer func(ident.StartID)
	// pollInterval is the time between two reads of the list of adapters during a load or unload.
	pollInterval time.Duration
	// after is time.After unless a test replaces it.
	after func(d time.Duration) <-chan time.Time
}

// Option configures a client.
type Option func(*Client)

// WithDial sets the function that opens connections.
func WithDial(dial Dial) Option { return func(c *Client) { c.dial = dial } }

// WithGuard sets a check that runs immediately before each command or request is sent; its error fails the call.
func WithGuard(guard func() (err error)) Option { return func(c *Client) { c.guard = guard } }

// WithObserver sets a function that is called with the start id of each response before the response is used.
func WithObserver(fn func(ident.StartID)) Option { return func(c *Client) { c.observer = fn } }

// WithPoll sets the interval between two reads of the list of adapters and the function that waits for it.
func WithPoll(every time.Duration, after func(d time.Duration) <-chan time.Time) Option {
	return func(c *Client) { c.pollInterval, c.after = every, after }
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
		baseURL:      u,
		dial:         (&net.Dialer{}).DialContext,
		guard:        func() error { return nil },
		observer:     func(ident.StartID) {},
		pollInterval: 20 * time.Millisecond,
		after:        time.After,
	}
	for _, o := range options {
		o(c)
	}
	c.commandClient = newHTTPClient(guardedDial(c.dial, c.guard))
	c.listClient = newHTTPClient(c.dial)
	return c, nil
}

func newHTTPClient(dial Dial) *http.Client {
	return &http.Client{
		Transport: roundtrip.New(&http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, WriteBufferSize: writeBufferBytes,
		}),
		// Following a redirect would send a request again, to an address that no operator declared.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.commandClient.CloseIdleConnections()
	c.listClient.CloseIdleConnections()
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

// Models returns the loaded adapters and the start id of the engine process that responded.
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
		// Base models are listed without a version and take no adapter slot.
		if av := ident.ParseAdapterVersion(m.ID); av.Version != "" {
			list = append(list, Model{Adapter: av, Digest: m.Digest})
		}
	}
	return list, id, err
}

// Running returns the running requests and the start id of the engine process that responded.
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

// Load loads an adapter, waits until the engine lists it with a digest, and returns the digest.
func (c *Client) Load(ctx context.Context, fencingNumber ident.Incarnation, av ident.AdapterVersion, path string) (digest string, err error) {
	defer func() { err = eris.Wrapf(err, "load %s", av) }()
	err = c.command(ctx, fencingNumber, "/v1/load_lora_adapter", map[string]string{"lora_name": av.String(), "lora_path": path})
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
func (c *Client) Unload(ctx context.Context, fencingNumber ident.Incarnation, av ident.AdapterVersion) (err error) {
	defer func() { err = eris.Wrapf(err, "unload %s", av) }()
	err = c.command(ctx, fencingNumber, "/v1/unload_lora_adapter", map[string]string{"lora_name": av.String()})
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

// Cancel cancels the request with the given id at the engine.
func (c *Client) Cancel(ctx context.Context, fencingNumber ident.Incarnation, id string) (err error) {
	defer func() { err = eris.Wrap(err, "cancel request") }()
	err = c.command(ctx, fencingNumber, "/cancel", map[string]string{"request_id": id})
	var e *CallError
	if eris.As(err, &e) && e.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// poll reads the list of adapters until ok returns true or ctx ends; after an error the command may have had an effect.
func (c *Client) poll(ctx context.Context, ok func([]Model) bool) (err error) {
	for {
		list, _, err := c.Models(ctx)
		if err == nil && ok(list) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &CallError{Effect: MayHaveEffect, Err: eris.Wrap(ctx.Err(), "list of adapters does not show the load or unload")}
		case <-c.after(c.pollInterval):
		}
	}
}

func (c *Client) get(ctx context.Context, path string, into any) (id ident.StartID, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(path), http.NoBody)
	if err != nil {
		return "", err
	}
	resp, err := c.listClient.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	id = ident.StartID(resp.Header.Get(HeaderStartID))
	c.observer(id)
	if resp.StatusCode != http.StatusOK {
		return id, eris.Errorf("endpoint responded with status %d", resp.StatusCode)
	}
	return id, jsonvalue.Decode(io.LimitReader(resp.Body, maxResponseBytes), into)
}

func (c *Client) command(ctx context.Context, fencingNumber ident.Incarnation, path string, body any) (err error) {
	text, err := json.Marshal(body)
	if err != nil {
		return &CallError{Effect: NoEffect, Err: err}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(path), bytes.NewReader(text))
	if err != nil {
		return &CallError{Effect: NoEffect, Err: err}
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.send(r, fencingNumber)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes)); err != nil {
		return &CallError{Effect: MayHaveEffect, Status: resp.StatusCode, Err: err}
	}
	return commandError(resp.StatusCode)
}

// commandError returns the error for the status of a command. A 4xx status other than 408 means that the engine refused the command.
func commandError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout:
		return &CallError{Effect: NoEffect, Status: status, Err: eris.Errorf("endpoint responded with status %d", status)}
	}
	return &CallError{Effect: MayHaveEffect, Status: status, Err: eris.Errorf("endpoint responded with status %d", status)}
}

// send checks the guard and sends a command or request with its fencing number.
func (c *Client) send(r *http.Request, fencingNumber ident.Incarnation) (resp *http.Response, err error) {
	r.Header.Set(HeaderFencing, strconv.FormatInt(int64(fencingNumber), 10))
	// net/http retries a request if its method or an Idempotency-Key header marks it as idempotent and its body is empty or
	// can be read again. A body that can be read only once prevents that.
	r.GetBody = nil
	if r.Body == http.NoBody {
		r.Body = io.NopCloser(strings.NewReader(""))
	}
	trace := &connectTrace{}
	if err = c.guard(); err != nil {
		return nil, &CallError{Effect: NoEffect, Err: err}
	}
	resp, err = c.commandClient.Do(trace.attach(r))
	if err != nil {
		return nil, &CallError{Effect: trace.effect(err), Err: withoutURL(trace.cause(err))}
	}
	c.observer(ident.StartID(resp.Header.Get(HeaderStartID)))
	if resp.StatusCode == http.StatusPreconditionFailed && resp.Header.Get(HeaderStartID) != "" {
		resp.Body.Close()
		return nil, &CallError{Effect: NoEffect, Status: resp.StatusCode, Err: ErrFenced}
	}
	return resp, nil
}

func (c *Client) url(path string) string {
	return strings.TrimSuffix(c.baseURL.String(), "/") + "/" + strings.TrimPrefix(path, "/")
}

// withoutURL removes the URL from an error of net/http, because errors are logged and the query of a service call is the
// caller's data.
func withoutURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}
