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

	"shallotring.dev/protocol/keyvalue/gateway"
	"shallotring.dev/state/ident"
)

const (
	defaultTimeout = 2 * time.Second
	dialTimeout    = time.Second
	maxErrorBytes  = 64 << 10
)

// Client implements Store over the JSON gateway; it may be used from several goroutines.
type Client struct {
	addresses []string
	timeout   time.Duration
	http      *http.Client
	// preferred is the index of the address that answered last.
	preferred atomic.Int64
	observe   func(call string, err error)
}

var _ Store = (*Client)(nil)

// Option changes a new Client.
type Option func(*Client)

// WithTimeout bounds each call except watches.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithTransport sets the HTTP transport.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.http.Transport = t } }

// WithObserver sets a function that is told of each call that is sent: its kind, such as "txn", and the error that sending it
// returned. A watch counts as one call.
func WithObserver(fn func(call string, err error)) Option {
	return func(c *Client) { c.observe = fn }
}

// New returns a client of the service at the base URLs, such as "http://127.0.0.1:2379".
func New(addresses []string, options ...Option) (c *Client, err error) {
	if len(addresses) == 0 {
		return nil, eris.New("key-value service: no address is set")
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	c = &Client{
		timeout: defaultTimeout,
		observe: func(string, error) {},
		http: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16},
			// A redirect would send a write twice.
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

// callName is the last part of the path of a call.
func callName(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

// connectTrace records whether a connection was looked for and handed to a request.
type connectTrace struct{ asked, connected atomic.Bool }

func (t *connectTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// notSent reports whether no byte of the request can have left: there was no connection, or its TLS handshake failed.
func (t *connectTrace) notSent(err error) bool {
	var op *net.OpError
	return t.asked.Load() && !t.connected.Load() || errors.As(err, &op) && op.Op == "dial"
}

// effect says whether a call may change the service's state.
type effect bool

const (
	reads  effect = false
	writes effect = true
)

// open sends one call. It goes on to the next address while the call cannot have had an effect.
func (c *Client) open(ctx context.Context, e effect, path string, q any) (a *http.Response, err error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	first := int(c.preferred.Load())
	for i := range c.addresses {
		number := (first + i) % len(c.addresses)
		var t connectTrace
		a, err = c.send(ctx, c.addresses[number]+path, body, &t)
		c.observe(callName(path), err)
		if err == nil {
			c.preferred.Store(int64(number))
			return a, nil
		}
		if e == writes && !t.notSent(err) {
			return nil, eris.Wrap(ErrOutcomeUnknown, err.Error())
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, eris.Wrap(ErrUnavailable, err.Error())
}

func (c *Client) send(ctx context.Context, url string, body []byte, t *connectTrace) (a *http.Response, err error) {
	q, err := http.NewRequestWithContext(t.attach(ctx), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// A body that can be rewound makes net/http repeat a request on a stale connection; a write must be sent once.
	q.GetBody = nil
	q.Header.Set("Content-Type", "application/json")
	return c.http.Do(q)
}

// call makes one call with a timeout and decodes the answer.
func (c *Client) call(ctx context.Context, e effect, path string, q, a any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	answer, err := c.open(ctx, e, path, q)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return statusError(e, answer)
	}
	if err = json.NewDecoder(answer.Body).Decode(a); err != nil {
		return eris.Wrap(lost(e), err.Error())
	}
	return nil
}

func lost(e effect) error {
	if e == writes {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}

// statusError maps an error answer; only errors that name a refusal of the request are certain to have had no effect.
func statusError(e effect, answer *http.Response) (err error) {
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes))
	var fault gateway.Error
	_ = json.Unmarshal(text, &fault)
	switch {
	case fault.Code == gateway.CodeNotFound && strings.Contains(fault.Message, "lease"):
		return eris.Wrap(ErrLeaseExpired, fault.Message)
	case fault.Code == gateway.CodeInvalidArgument:
		return eris.Errorf("key-value service refused the call: %s", fault.Message)
	}
	return eris.Wrapf(lost(e), "status %d: %s", answer.StatusCode, fault.Message)
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (r Record, found bool, err error) {
	defer func() { err = eris.Wrapf(err, "get %s", key) }()
	var a gateway.RangeResponse
	err = c.call(ctx, reads, gateway.PathRange, gateway.RangeRequest{Key: []byte(key)}, &a)
	if err != nil || len(a.KVs) == 0 {
		return Record{}, false, err
	}
	return record(a.KVs[0]), true, nil
}

// List reads all keys with the prefix.
func (c *Client) List(ctx context.Context, prefix string) (list []Record, at ident.Revision, err error) {
	defer func() { err = eris.Wrapf(err, "list %s", prefix) }()
	var a gateway.RangeResponse
	q := gateway.RangeRequest{Key: []byte(prefix), RangeEnd: gateway.PrefixEnd(prefix)}
	if err = c.call(ctx, reads, gateway.PathRange, q, &a); err != nil {
		return nil, 0, err
	}
	for _, kv := range a.KVs {
		list = append(list, record(kv))
	}
	return list, ident.Revision(a.Header.Revision), nil
}

func record(kv gateway.KeyValue) Record {
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
	var a gateway.TxnResponse
	err = c.call(ctx, writes, gateway.PathTxn, q, &a)
	return ident.Revision(a.Header.Revision), a.Succeeded, err
}

// Grant creates a lease; the service counts in whole seconds and the time is rounded up.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error) {
	defer func() { err = eris.Wrap(err, "grant lease") }()
	var a gateway.Lease
	q := gateway.Lease{TTL: int64((ttl + time.Second - 1) / time.Second)}
	err = c.call(ctx, writes, gateway.PathGrant, q, &a)
	return LeaseID(a.ID), err
}

// KeepAlive renews a lease once.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (err error) {
	defer func() { err = eris.Wrap(err, "keep lease alive") }()
	var a gateway.KeepAliveResponse
	if err = c.call(ctx, writes, gateway.PathKeepAlive, gateway.Lease{ID: int64(id)}, &a); err != nil {
		return err
	}
	if a.Result.TTL <= 0 {
		return ErrLeaseExpired
	}
	return nil
}

// Revoke ends a lease.
func (c *Client) Revoke(ctx context.Context, id LeaseID) (err error) {
	defer func() { err = eris.Wrap(err, "revoke lease") }()
	var a struct{}
	return c.call(ctx, writes, gateway.PathRevoke, gateway.Lease{ID: int64(id)}, &a)
}
