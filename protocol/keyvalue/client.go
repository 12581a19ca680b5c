package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/jsonvalue"
	"shallotring.dev/protocol/keyvalue/gateway"
	"shallotring.dev/protocol/outage"
	"shallotring.dev/protocol/roundtrip"
	"shallotring.dev/protocol/socket"
	"shallotring.dev/state/ident"
)

const (
	defaultTimeout = 2 * time.Second
	dialTimeout    = time.Second
	// maxErrorBytes limits the part of an error response that is read.
	maxErrorBytes = 64 << 10
)

// Client implements Store over the JSON gateway; it may be used from several goroutines.
type Client struct {
	addresses []string
	timeout   time.Duration
	http      *http.Client
	// preferredIndex is the index of the address that calls try first: the one that responded last, or the next one after a failure.
	preferredIndex atomic.Int64
	observer       func(call string, err error)
	outage         *outage.Detector
}

var _ Store = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of all calls except watches.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithTransport sets the HTTP transport.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = roundtrip.New(t) }
}

// WithObserver sets a function that is called after each call is sent, with the call's kind, such as "txn", and the error of
// sending it. A watch counts as one call.
func WithObserver(fn func(call string, err error)) Option {
	return func(c *Client) { c.observer = fn }
}

// New returns a client of the service at the base URLs, such as "http://127.0.0.1:2379".
func New(addresses []string, options ...Option) (c *Client, err error) {
	if len(addresses) == 0 {
		return nil, eris.New("key-value service: no address is set")
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	c = &Client{
		timeout:  defaultTimeout,
		observer: func(string, error) {},
		outage:   outage.New(),
		http: &http.Client{
			Transport: roundtrip.New(&http.Transport{DialContext: socket.Dial(dialer.DialContext), MaxIdleConnsPerHost: 16}),
			// Following a redirect would send a write twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, a := range addresses {
		c.addresses = append(c.addresses, strings.TrimSuffix(a, "/"))
	}
	for _, o := range options {
		o(c)
	}
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// callName returns the last segment of the path of a call.
func callName(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

// connectTrace records whether a request asked the transport for a connection and whether it received one.
type connectTrace struct{ requested, connected atomic.Bool }

func (t *connectTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.requested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// unsent reports whether it is certain that no byte of the request was sent: there was no connection, or its TLS handshake
// failed.
func (t *connectTrace) unsent(err error) bool {
	var op *net.OpError
	return t.requested.Load() && !t.connected.Load() || errors.As(err, &op) && op.Op == "dial"
}

// callEffect states whether a call may change the service's state.
type callEffect bool

const (
	readOnly callEffect = false
	mayWrite callEffect = true
)

// open sends one call and returns the response with its body unread. After an error it tries the next address, unless the call may
// already have had an effect.
func (c *Client) open(ctx context.Context, effect callEffect, path string, request any) (response *http.Response, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	first := int(c.preferredIndex.Load())
	for i := range c.addresses {
		index := (first + i) % len(c.addresses)
		var t connectTrace
		response, err = c.send(ctx, c.addresses[index]+path, body, &t)
		c.observer(callName(path), err)
		if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
			c.outage.Missed()
			// The call may have no time left for the next address, so the next call begins there.
			c.preferredIndex.CompareAndSwap(int64(index), int64((index+1)%len(c.addresses)))
		}
		if err == nil {
			c.preferredIndex.Store(int64(index))
			return response, nil
		}
		if effect == mayWrite && !t.unsent(err) {
			return nil, eris.Wrap(ErrOutcomeUnknown, err.Error())
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, eris.Wrap(ErrUnavailable, err.Error())
}

func (c *Client) send(ctx context.Context, url string, body []byte, t *connectTrace) (a *http.Response, err error) {
	request, err := http.NewRequestWithContext(t.attach(ctx), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// With a body that can be read again, net/http retries a request on a stale connection; a write must be sent only once.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return c.http.Do(request)
}

// call sends one call with a timeout and decodes the response.
func (c *Client) call(ctx context.Context, effect callEffect, path string, request, result any) (err error) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.open(ctx, effect, path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(effect, response)
	}
	if err = jsonvalue.Decode(response.Body, result); err != nil {
		return eris.Wrap(errorWithoutResponse(effect), err.Error())
	}
	c.outage.Responded(time.Since(sent))
	return nil
}

// errorWithoutResponse returns the error of a call that was sent and whose response did not arrive.
func errorWithoutResponse(effect callEffect) error {
	if effect == mayWrite {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}

// statusError converts an error response. Only an error that states that the service refused the call proves that the call had
// no effect.
func statusError(effect callEffect, response *http.Response) (err error) {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return eris.Wrapf(errorWithoutResponse(effect), "key-value service responded with status %d: %v", response.StatusCode, err)
	}
	var gatewayError gateway.Error
	_ = json.Unmarshal(text, &gatewayError)
	switch {
	case gatewayError.Code == gateway.CodeNotFound && strings.Contains(gatewayError.Message, "lease"):
		return eris.Wrap(ErrLeaseExpired, gatewayError.Message)
	case gatewayError.Code == gateway.CodeInvalidArgument:
		return eris.Errorf("key-value service refused the call: %s", gatewayError.Message)
	}
	return eris.Wrapf(errorWithoutResponse(effect), "key-value service responded with status %d: %s", response.StatusCode, gatewayError.Message)
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (r Record, found bool, err error) {
	defer func() { err = eris.Wrapf(err, "get %s", key) }()
	var response gateway.RangeResponse
	err = c.call(ctx, readOnly, gateway.PathRange, gateway.RangeRequest{Key: []byte(key)}, &response)
	if err != nil || len(response.KVs) == 0 {
		return Record{}, false, err
	}
	return toRecord(response.KVs[0]), true, nil
}

// List reads all keys with the prefix.
func (c *Client) List(ctx context.Context, prefix string) (list []Record, at ident.Revision, err error) {
	defer func() { err = eris.Wrapf(err, "list %s", prefix) }()
	var response gateway.RangeResponse
	q := gateway.RangeRequest{Key: []byte(prefix), RangeEnd: gateway.PrefixEnd(prefix)}
	if err = c.call(ctx, readOnly, gateway.PathRange, q, &response); err != nil {
		return nil, 0, err
	}
	for _, kv := range response.KVs {
		list = append(list, toRecord(kv))
	}
	return list, ident.Revision(response.Header.Revision), nil
}

func toRecord(kv gateway.KeyValue) Record {
	return Record{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: ident.Revision(kv.CreateRevision),
		ModRevision:    ident.Revision(kv.ModRevision),
		Lease:          LeaseID(kv.Lease),
	}
}

// CompareAndSwap stores or deletes one key if it has the expected revision.
func (c *Client) CompareAndSwap(ctx context.Context, s Swap) (at ident.Revision, swapped bool, err error) {
	defer func() { err = eris.Wrapf(err, "compare and swap %s", s.Key) }()
	key := []byte(s.Key)
	condition := gateway.Compare{
		Key:         key,
		Target:      gateway.TargetMod,
		Result:      gateway.ResultEqual,
		ModRevision: int64(s.Expect),
	}
	if s.Expect == 0 {
		condition.Target = gateway.TargetCreate
	}
	step := gateway.Operation{Put: &gateway.Put{Key: key, Value: s.Value, Lease: int64(s.Lease)}}
	if s.Delete {
		step = gateway.Operation{Delete: &gateway.Delete{Key: key}}
	}
	q := gateway.TxnRequest{Compare: []gateway.Compare{condition}, Success: []gateway.Operation{step}}
	var response gateway.TxnResponse
	err = c.call(ctx, mayWrite, gateway.PathTxn, q, &response)
	return ident.Revision(response.Header.Revision), response.Succeeded, err
}

// Grant creates a lease; ttl is rounded up to whole seconds, the unit of the service.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error) {
	defer func() { err = eris.Wrap(err, "grant lease") }()
	var response gateway.Lease
	q := gateway.Lease{TTL: int64((ttl + time.Second - 1) / time.Second)}
	err = c.call(ctx, mayWrite, gateway.PathGrant, q, &response)
	return LeaseID(response.ID), err
}

// KeepAlive renews a lease once.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (err error) {
	defer func() { err = eris.Wrap(err, "keep lease alive") }()
	var response gateway.KeepAliveResponse
	if err = c.call(ctx, mayWrite, gateway.PathKeepAlive, gateway.Lease{ID: int64(id)}, &response); err != nil {
		return err
	}
	if response.Result.TTL <= 0 {
		return ErrLeaseExpired
	}
	return nil
}

// Revoke ends a lease.
func (c *Client) Revoke(ctx context.Context, id LeaseID) (err error) {
	defer func() { err = eris.Wrap(err, "revoke lease") }()
	var a struct{}
	return c.call(ctx, mayWrite, gateway.PathRevoke, gateway.Lease{ID: int64(id)}, &a)
}
