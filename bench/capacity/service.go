package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
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
	in, out atomic.Int64
}

func (t *traffic) total() int64 { return t.in.Load() + t.out.Load() }

type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept returns a connection that counts.
func (l countingListener) Accept() (c net.Conn, err error) {
	c, err = l.Listener.Accept()
	return countingConn{Conn: c, traffic: l.traffic}, err
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read counts what the peer sent.
func (c countingConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write counts what is sent to the peer.
func (c countingConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}

// serve serves a handler on loopback and counts its bytes.
func serve(h http.Handler, t *traffic) (address string, end func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, eris.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: server.DefaultLimits().HeaderTimeout}
	go func() { _ = s.Serve(countingListener{Listener: l, traffic: t}) }()
	return l.Addr().String(), func() { _ = s.Close() }, nil
}

// service is the key-value stand-in with counters of its bytes and of its waiting watches.
type service struct {
	*keyvalue.Service
	traffic traffic
	waiting atomic.Int64
	url     string
	store   *protocol.Client
	end     func()
}

func newService() (s *service, err error) {
	s = &service{Service: keyvalue.New()}
	h := s.Handler()
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == gateway.PathWatch {
			s.waiting.Add(1)
			defer s.waiting.Add(-1)
		}
		h.ServeHTTP(w, r)
	})
	address, end, err := serve(counted, &s.traffic)
	if err != nil {
		return nil, err
	}
	s.url = "http://" + address
	s.store, err = protocol.New([]string{s.url}, protocol.WithTimeout(time.Minute))
	s.end = func() {
		s.Close()
		end()
	}
	return s, err
}

// put stores a value under a key that does not exist yet.
func (s *service) put(ctx context.Context, key string, value any) (err error) {
	text, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	_, swapped, err := s.store.CompareAndSwap(ctx, protocol.Swap{Key: key, Value: text})
	if err == nil && !swapped {
		err = eris.Errorf("%s exists", key)
	}
	return err
}

// declare stores whole shards with adapters and engines.
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
		if err = s.put(ctx, registry.ConfigKey(number), sh); err != nil {
			return err
		}
	}
	return nil
}

// claim stores claims of agents that all have the given addresses in turn.
func (s *service) claim(ctx context.Context, engines int, addresses []string) (err error) {
	for i := range engines {
		name := load.EngineName(i)
		r := registry.ClaimRecord{
			Process: ident.Process(fmt.Sprintf("agent-%d", i)), Endpoint: name, Address: addresses[i%len(addresses)],
			Host: load.Engine(i).Host, Zone: load.Engine(i).Zone,
		}
		if err = s.put(ctx, registry.ClaimKey(name), r); err != nil {
			return err
		}
	}
	return nil
}

// reporter answers load reports in place of agents; eight adapters are resident, as in a full engine.
type reporter struct {
	wire.Agent
	reports atomic.Int64
}

// Report answers a load report.
func (r *reporter) Report(context.Context, *wire.ReportRequest) (a *wire.ReportResponse, err error) {
	n := r.reports.Add(1)
	a = &wire.ReportResponse{Running: 20, Queued: 3, BatchSize: 256, Slots: 8, Generation: 1 << 20, QueueMilli: 12}
	for i := range 8 {
		a.Adapters = append(a.Adapters, &wire.AdapterState{
			Adapter: fmt.Sprintf("adapter-%05d", (int(n)+i*17)%3000), Version: "v2", Running: 3,
		})
	}
	return a, nil
}

// change gives one adapter another default version, as an operator does.
func (s *service) change(ctx context.Context, i int) (err error) {
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
