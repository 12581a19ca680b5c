package direct

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/mirror"
	"shallotring.dev/daemon/frontend"
	"shallotring.dev/platform/boot"
	"shallotring.dev/platform/catalog"
	"shallotring.dev/platform/message"
	"shallotring.dev/platform/store"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/admin"
	"shallotring.dev/transport/server"
)

const (
	// callerIdle is the time for which callers' idle connections stay open; callers reuse theirs for less.
	callerIdle = 2 * time.Minute
	// headerTimeout bounds the time that a caller takes to send a header.
	headerTimeout = 5 * time.Second
	// headerBytes bounds a caller's header.
	headerBytes = 64 << 10
	// unready is the time for which a stopping entry goes on as before: the platform probes once a second and takes it out of
	// rotation after two misses.
	unready = 2500 * time.Millisecond
	// lastStreams is the time after the signal until which streams are taken: a stream lasts some seconds, and the grace period
	// has to hold them.
	lastStreams = 2900 * time.Millisecond
	// lastReserve is kept back from the grace period for the exit.
	lastReserve = 500 * time.Millisecond
	// discoveryReread confirms the list of endpoints although the watch shows no change: requests must not reach an endpoint
	// two seconds after it has said that it leaves.
	discoveryReread = 5 * time.Second
	// discoveryPause collects the changes of many endpoints, since each answer of a watch is a call to the store. It is well below
	// the two seconds after which a leaving endpoint must get nothing.
	discoveryPause = 700 * time.Millisecond
)

// Entry is the program on an entry host.
type Entry struct {
	settings boot.Settings
	log      *slog.Logger
	front    *frontend.Frontend
	set      *metrics.Set
}

// NewEntry returns an entry for the settings.
func NewEntry(s boot.Settings, log *slog.Logger) *Entry {
	set := metrics.NewSet()
	return &Entry{settings: s, log: log, set: set, front: frontend.New(message.Headers{}, s.Host, s.Zone,
		frontend.WithLog(log), frontend.WithMetrics(set), frontend.WithControlPort(s.Control),
		frontend.WithRetryLimit(frontend.RetryLimit{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow}))}
}

// Run serves until the context ends and then drains within the grace period.
func (e *Entry) Run(ctx context.Context, metricsAddress string) (err error) {
	defer func() { err = eris.Wrap(err, "entry") }()
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	callers := &http.Server{Handler: e.front, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelWarn)}
	probes := &http.Server{Handler: http.HandlerFunc(e.ready), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 3)
	var drainer *server.Drainer
	listen := func(s *http.Server, address string) (err error) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		if s == callers {
			drainer = server.NewDrainer(l)
			l, s.ConnState = drainer, drainer.State
		}
		wg.Go(func() {
			if err := s.Serve(l); !eris.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
		return nil
	}
	if err = listen(callers, e.settings.Front); err != nil {
		return err
	}
	defer callers.Close()
	if err = listen(probes, e.settings.Ready); err != nil {
		return err
	}
	defer probes.Close()
	if metricsAddress != "" {
		a := &http.Server{Handler: admin.Handler(e.set, e.front.Ready), ReadHeaderTimeout: headerTimeout}
		if err = listen(a, metricsAddress); err != nil {
			return err
		}
		defer a.Close()
	}
	c := store.New(e.settings.Store)
	operators := mirror.New(c, catalog.OperatorPrefix, e.operators, mirror.WithLog(e.log))
	endpoints := mirror.New(c, catalog.EndpointPrefix, e.endpoints, mirror.WithLog(e.log), mirror.WithPause(discoveryPause), mirror.WithReread(discoveryReread))
	wg.Go(func() { operators.Run(background) })
	wg.Go(func() { endpoints.Run(background) })
	wg.Go(func() { e.front.Run(background) })
	e.log.Info("process started", slog.String("Front", e.settings.Front), slog.String("Ready", e.settings.Ready), slog.Int("Pid", os.Getpid()))
	select {
	case err = <-failed:
		return err
	case <-ctx.Done():
	}
	e.drain(drainer)
	return nil
}

// drain ends the service without interrupting a request: first the platform sends no new connections, then callers lose the
// idle ones, then the process waits for what still runs.
func (e *Entry) drain(callers *server.Drainer) {
	began := time.Now()
	e.log.Info("process stopping", slog.Int64("GraceMilli", e.settings.Grace.Milliseconds()))
	e.front.Drain()
	time.Sleep(min(unready, e.settings.Grace/3))
	e.front.CloseConnections()
	callers.CloseIdle()
	time.Sleep(min(lastStreams-unready, e.settings.Grace/16))
	end := began.Add(e.settings.Grace - lastReserve)
	e.front.RefuseStreams(end)
	time.Sleep(min(time.Second, e.settings.Grace/8))
	busy := callers.Wait(end)
	e.log.Info("process stopped", slog.Int64("DurationMilli", time.Since(began).Milliseconds()), slog.Int("Interrupted", busy))
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := e.front.Ready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}

// operators takes changes of what operators write. Values that cannot be read leave the last good state in force.
func (e *Entry) operators(list []mirror.Record) {
	for _, r := range list {
		switch {
		case r.Deleted:
			e.log.Warn("operator's key deleted, the last value stays in force", slog.String("Key", r.Key), slog.Int64("Revision", int64(r.Revision)))
		case r.Key == catalog.ConfigurationKey:
			t, err := catalog.Configuration(r.Value)
			if err != nil {
				e.log.Error("configuration not read", slog.Int64("Revision", int64(r.Revision)), slog.Any("Error", err))
				continue
			}
			e.front.Configure(t)
		case len(r.Key) > len(catalog.VersionPrefix) && r.Key[:len(catalog.VersionPrefix)] == catalog.VersionPrefix:
			model, av, err := catalog.Version(r.Value)
			if err != nil || av.IsZero() {
				e.log.Error("declared version not used", slog.String("Key", r.Key), slog.String("Model", string(model)), slog.Int64("Revision", int64(r.Revision)), slog.Any("Error", err))
				continue
			}
			e.front.Declare(av)
		}
	}
}

func (e *Entry) endpoints(list []mirror.Record) {
	for _, r := range list {
		id := ident.Endpoint(r.Key[len(catalog.EndpointPrefix):])
		if r.Deleted {
			e.front.Leave(id)
			continue
		}
		d, err := catalog.Endpoint(r.Key, r.Value)
		if err != nil {
			e.log.Warn("discovery entry not used", slog.String("Key", r.Key), slog.Int64("Revision", int64(r.Revision)), slog.Any("Error", err))
			e.front.Leave(id)
			continue
		}
		e.front.Join(d)
	}
}
