package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/bench/load"
	"shallotring.dev/coordination/configuration"
	"shallotring.dev/coordination/registry"
	protocol "shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/keyvalue/gateway"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/standin/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/server"
)

// traffic counts the bytes that the connections of a listener receive and send.
type traffic struct {
	received, sent atomic.Int64
}

func (t *traffic) total() int64 { return t.received.Load() + t.sent.Load() }

type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept returns a connection that counts its bytes.
func (l countingListener) Accept() (c net.Conn, err error) {
	c, err = l.Listener.Accept()
	return countingConn{Conn: c, traffic: l.traffic}, err
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read counts the bytes received from the peer.
func (c countingConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write counts the bytes sent to the peer.
func (c countingConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// serve serves a handler on loopback and counts the bytes of its connections.
func serve(h http.Handler, t *traffic) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, eris.Wrap(err, "listen on a loopback port")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: server.DefaultLimits().HeaderTimeout}
	go func() { _ = s.Serve(countingListener{Listener: l, traffic: t}) }()
	return l.Addr().String(), func() { _ = s.Close() }, nil
}

// service is the key-value stand-in with counters of its bytes and of its open watches.
type service struct {
	*keyvalue.Service
	traffic     traffic
	openWatches atomic.Int64
	url         string
	store       *protocol.Client
	stop        func()
}

func newService() (s *service, err error) {
	s = &service{Service: keyvalue.New()}
	h := s.Handler()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == gateway.PathWatch {
			s.openWatches.Add(1)
			defer s.openWatches.Add(-1)
		}
		h.ServeHTTP(w, r)
	})
	address, stop, err := serve(handler, &s.traffic)
	if err != nil {
		return nil, err
	}
	s.url = "http://" + address
	s.store, err = protocol.New([]string{s.url}, protocol.WithTimeout(time.Minute))
	s.stop = func() {
		s.Close()
		stop()
	}
	return s, err
}

// create stores a value under a key that does not exist yet.
func (s *service) create(ctx context.Context, key string, value any) (at ident.Revision, err error) {
	text, err := json.Marshal(value)
	if err != nil {
		return 0, eris.Wrap(err, "encode a stored value as JSON")
	}
	at, swapped, err := s.store.CompareAndSwap(ctx, protocol.Swap{Key: key, Value: text})
	if err == nil && !swapped {
		err = eris.Errorf("key %s already exists", key)
	}
	return at, err
}

// declare stores the configuration shards with the given numbers of adapters and engines.
func (s *service) declare(ctx context.Context, adapters, engines int) (err error) {
	shards := make(map[int]*resource.Shard)
	add := func(r any) {
		n, _ := resource.NameOf(r)
		if shards[n.Shard()] == nil {
			shards[n.Shard()] = &resource.Shard{}
		}
		shards[n.Shard()].Put(r)
	}
	for i := range adapters {
		add(load.Adapter(i))
	}
	for i := range engines {
		add(load.Engine(i))
	}
	policy := resource.DefaultPolicy()
	add(&policy)
	for number, sh := range shards {
		if _, err = s.create(ctx, registry.ConfigKey(number), sh); err != nil {
			return err
		}
	}
	return nil
}

// writeClaims stores one claim per engine. The address of an agent is the given one with the name of the engine as its path.
func (s *service) writeClaims(ctx context.Context, engines int, address string, agents *agentStub) (err error) {
	for i := range engines {
		name := load.EngineName(i)
		r := registry.ClaimRecord{
			Process: ident.Process(fmt.Sprintf("agent-%d", i)), Endpoint: name, Address: address + "/" + string(name),
			Host: load.Engine(i).Host, Zone: load.Engine(i).Zone,
		}
		at, err := s.create(ctx, registry.ClaimKey(name), r)
		if err != nil {
			return err
		}
		agents.incarnations.Store(name, ident.Incarnation(at))
	}
	return nil
}

// agentStub serves load reports in place of all agents. Eight adapters are resident, as in a full engine.
type agentStub struct {
	wire.Agent
	reports atomic.Int64
	// incarnations has the ident.Incarnation of each ident.Endpoint.
	incarnations sync.Map
}

// endpointKey is the key of the endpoint's name in the context of a call.
type endpointKey struct{}

// handler passes on the calls of each agent, whose path begins with the name of its endpoint.
func (r *agentStub) handler() http.Handler {
	calls := wire.NewAgentServer(r)
	return http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		name, path, _ := strings.Cut(strings.TrimPrefix(h.URL.Path, "/"), "/")
		h = h.WithContext(context.WithValue(h.Context(), endpointKey{}, ident.Endpoint(name)))
		h.URL.Path = "/" + path
		calls.ServeHTTP(w, h)
	})
}

// Report returns a load report.
func (r *agentStub) Report(ctx context.Context, _ *wire.ReportRequest) (a *wire.ReportResponse, err error) {
	n := r.reports.Add(1)
	name, _ := ctx.Value(endpointKey{}).(ident.Endpoint)
	incarnation, _ := r.incarnations.Load(name)
	i, _ := incarnation.(ident.Incarnation)
	a = &wire.ReportResponse{Endpoint: string(name), Incarnation: int64(i), Running: 20, Queued: 3, BatchSize: 256, Slots: 8, Generation: 1 << 20, QueueMilli: 12}
	for i := range 8 {
		a.Adapters = append(a.Adapters, &wire.AdapterState{
			Adapter: fmt.Sprintf("adapter-%05d", (int(n)+i*17)%3000), Version: "v2", Running: 3,
		})
	}
	return a, nil
}

// changeDefault changes the default version of one adapter in the way of the operator's commands.
func (s *service) changeDefault(ctx context.Context, i int) (err error) {
	defer func() { err = eris.Wrap(err, "change an adapter") }()
	a := load.Adapter(i)
	a.Default = a.Versions[0].Version
	editor := configuration.NewEditor(s.store, quartz.NewReal())
	_, revision, err := editor.Read(ctx, resource.Name{Kind: resource.KindAdapter, Name: string(a.Name)})
	if err != nil {
		return err
	}
	_, err = editor.Put(ctx, a, revision)
	return err
}
