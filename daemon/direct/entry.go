package direct

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/mirror"
	"shallotring.dev/coordination/quarantinerecord"
	"shallotring.dev/coordination/requestrecord"
	"shallotring.dev/coordination/roster"
	"shallotring.dev/daemon/frontend"
	"shallotring.dev/platform/boot"
	"shallotring.dev/platform/catalog"
	"shallotring.dev/platform/message"
	"shallotring.dev/platform/store"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/admin"
	"shallotring.dev/transport/guard"
	"shallotring.dev/transport/server"
)

const (
	// callerIdleTimeout is the time after which idle connections of callers are closed; callers reuse a connection only for a
	// shorter time.
	callerIdleTimeout = 2 * time.Minute
	// headerTimeout bounds the time in which a caller must send the headers of a request.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 64 << 10
	// unreadyDuration is the time for which a stopping entry reports that it is not ready and serves as before: the platform
	// probes once a second and sends no new connections after two failed probes.
	unreadyDuration = 2500 * time.Millisecond
	// acceptStreamsDuration is the time after the signal for which streams are still accepted: a stream lasts some seconds, and it
	// has to finish within the grace period.
	acceptStreamsDuration = 2900 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit of the process.
	exitReserve = 500 * time.Millisecond
	// quarantineWatchPause is short, since entries without agents share the evidence in the store.
	quarantineWatchPause = 20 * time.Millisecond
	// quarantineWatchTimeout and quarantineFullReadInterval are long: entries learn of crashes from the agents; the store has what was found
	// before they started.
	quarantineWatchTimeout     = 30 * time.Second
	quarantineFullReadInterval = time.Minute
)

// Entry is the program that runs on an entry host.
type Entry struct {
	settings boot.Settings
	fresh    freshness
	log      *slog.Logger
	frontend *frontend.Frontend
	guard    *guard.Guard
	metrics  *metrics.Set
	store    *store.Client
	// quarantine keeps the prompt parts in quarantine in the store.
	quarantine *quarantinerecord.Keeper
	// requests keeps the requests in quarantine in the store.
	requests *requestrecord.Keeper
}

// NewEntry returns an entry for the settings.
func NewEntry(s boot.Settings, log *slog.Logger) *Entry {
	set := metrics.NewSet()
	fresh := newFreshness(s.DrainTimeout, s.ConfigurationTimeout, s.ContactTimeout)
	revoke := time.Duration(0)
	if s.StrictRevoke {
		revoke = s.RevokeTimeout
		fresh = fresh.confirmedWithin(revoke)
	}
	client := store.New(s.Store, store.WithProbeInterval(fresh.probeInterval), store.WithWatchMargin(fresh.watchMargin))
	keeper := quarantinerecord.New(client, s.Host, quarantinerecord.WithLog(log))
	requests := requestrecord.New(client, s.Host, requestrecord.WithLog(log))
	memory := guard.New(guard.LimitsOf(s.MemoryLimitBytes, s.MaxDescriptors), guard.WithLog(log), guard.WithMetrics(set))
	return &Entry{settings: s, fresh: fresh, log: log, guard: memory, metrics: set, store: client, quarantine: keeper, requests: requests, frontend: frontend.New(message.Headers{}, s.Host, s.Zone,
		frontend.WithLog(log), frontend.WithMetrics(set), frontend.WithConfidence(fresh.confidence(s.ConfigurationTimeout, revoke)), frontend.WithControlPort(s.ControlPort), frontend.WithGuard(memory), frontend.WithQuarantineRecord(keeper), frontend.WithRequestRecord(requests),
		frontend.WithRetryLimit(frontend.RetryLimit{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow}),
		frontend.WithQuotaTolerance(scale(s.QuotaWindow, s.QuotaExcess)))}
}

// Run serves until the context ends and then drains within the grace period.
func (e *Entry) Run(ctx context.Context, metricsAddress string) (err error) {
	defer func() { err = eris.Wrap(err, "run entry") }()
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	callers := &http.Server{Handler: e.frontend, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelWarn)}
	probes := &http.Server{Handler: http.HandlerFunc(e.serveReadiness), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 3)
	var drainer *server.Drainer
	listen := func(s *http.Server, address string) (err error) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		if s == callers {
			drainer = server.NewDrainer(e.guard.Listener(l))
			l, s.ConnState = drainer, drainer.State
			e.guard.Attach(s)
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
		metricsServer := &http.Server{Handler: admin.Handler(e.metrics, e.frontend.NotReadyReason), ReadHeaderTimeout: headerTimeout}
		if err = listen(metricsServer, metricsAddress); err != nil {
			return err
		}
		defer metricsServer.Close()
	}
	operators := mirror.New(e.store, catalog.OperatorPrefix, e.applyOperatorChanges, mirror.WithLog(e.log), mirror.WithWatchTimeout(e.fresh.operatorWait),
		mirror.WithWatchPause(e.fresh.operatorPause), mirror.WithConfirmation(e.frontend.BeginConfirmation))
	endpoints := mirror.New(e.store, catalog.EndpointPrefix, e.applyDiscovery, mirror.WithLog(e.log), mirror.WithWatchPause(e.fresh.endpointPause),
		mirror.WithWatchTimeout(e.fresh.endpointWait), mirror.WithFullReadInterval(e.fresh.endpointInterval), mirror.WithContactTimeout(e.fresh.contact), mirror.WithMissingKeys())
	quarantined := mirror.New(e.store, quarantinerecord.Prefix, e.applyQuarantine, mirror.WithLog(e.log), mirror.WithWatchPause(quarantineWatchPause),
		mirror.WithWatchTimeout(quarantineWatchTimeout), mirror.WithFullReadInterval(quarantineFullReadInterval))
	wg.Go(func() { e.store.Run(background) })
	wg.Go(func() { quarantined.Run(background) })
	wg.Go(func() { e.quarantine.Run(background) })
	wg.Go(func() { e.requests.Run(background) })
	wg.Go(func() { roster.New(e.store, e.settings.Host, e.frontend, roster.WithLog(e.log)).Run(background) })
	wg.Go(func() { operators.Run(background) })
	wg.Go(func() { endpoints.Run(background) })
	wg.Go(func() { e.frontend.Run(background) })
	e.log.Info("process started", slog.String("Front", e.settings.Front), slog.String("Ready", e.settings.Ready), slog.Int("Pid", os.Getpid()))
	select {
	case err = <-failed:
		return err
	case <-ctx.Done():
	}
	e.drain(drainer)
	return nil
}

func scale(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// drain stops the entry without interrupting a request: first the platform stops sending new connections, then the idle connections
// of callers are closed, and then the process waits for the requests in progress.
func (e *Entry) drain(callers *server.Drainer) {
	start := time.Now()
	e.log.Info("process stopping", slog.Int64("GraceMilli", e.settings.GracePeriod.Milliseconds()))
	e.frontend.Drain()
	// The fractions apply only if the grace period is too short for the usual waits.
	time.Sleep(min(unreadyDuration, e.settings.GracePeriod/3))
	e.frontend.CloseConnections()
	callers.CloseIdle()
	time.Sleep(min(acceptStreamsDuration-unreadyDuration, e.settings.GracePeriod/16))
	end := start.Add(e.settings.GracePeriod - exitReserve)
	e.frontend.RefuseStreams(end)
	time.Sleep(min(time.Second, e.settings.GracePeriod/8))
	interrupted := callers.Wait(end)
	e.log.Info("process stopped", slog.Int64("DurationMilli", time.Since(start).Milliseconds()), slog.Int("Interrupted", interrupted))
}

func (e *Entry) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if reason := e.frontend.NotReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}

// applyOperatorChanges applies changes of the keys that operators write. An invalid value leaves the last valid one in force.
func (e *Entry) applyOperatorChanges(list []mirror.Record) {
	for _, r := range list {
		switch {
		case r.Deleted:
			e.log.Warn("operator key was deleted; its last value stays in force", slog.String("Key", r.Key), slog.Int64("Revision", int64(r.Revision)))
		case r.Key == catalog.ConfigurationKey:
			t, err := catalog.DecodeConfiguration(r.Value)
			if err != nil {
				e.log.Error("configuration is invalid; the previous one stays in force", slog.Int64("Revision", int64(r.Revision)), slog.Any("Error", err))
				continue
			}
			if r.Restored {
				e.frontend.RestoreConfiguration(t)
			} else {
				e.frontend.Configure(t)
			}
		case len(r.Key) > len(catalog.VersionPrefix) && r.Key[:len(catalog.VersionPrefix)] == catalog.VersionPrefix:
			model, av, err := catalog.DecodeVersion(r.Value)
			if err != nil {
				e.log.Error("declared version is invalid; it is ignored", slog.String("Key", r.Key), slog.Int64("Revision", int64(r.Revision)), slog.Any("Error", err))
				continue
			}
			if av.IsZero() {
				// Engines load it at their next start; their agents report which version they have.
				e.log.Info("base model version declared", slog.String("Model", string(model)), slog.String("Version", string(av.Version)))
				continue
			}
			if r.Restored {
				e.frontend.RestoreVersion(av)
			} else {
				e.frontend.DeclareVersion(av)
			}
		}
	}
}

// applyQuarantine applies changes of the keys of parts and requests in quarantine.
func (e *Entry) applyQuarantine(list []mirror.Record) {
	var parts []mirror.Record
	for _, r := range list {
		if !strings.HasPrefix(r.Key, requestrecord.VerdictPrefix) && !strings.HasPrefix(r.Key, requestrecord.EvidencePrefix) {
			parts = append(parts, r)
		}
	}
	e.quarantine.Apply(parts, e.frontend)
	e.requests.Apply(list, e.frontend)
}

func (e *Entry) applyDiscovery(list []mirror.Record) {
	for _, r := range list {
		id := ident.Endpoint(r.Key[len(catalog.EndpointPrefix):])
		if r.Missing {
			e.frontend.DoubtEndpoint(id)
			continue
		}
		if r.Deleted {
			e.frontend.RemoveEndpoint(id)
			continue
		}
		d, err := catalog.DecodeEndpoint(r.Key, r.Value)
		if err != nil {
			e.log.Warn("discovery entry is invalid; its endpoint is removed", slog.String("Key", r.Key), slog.Int64("Revision", int64(r.Revision)), slog.Any("Error", err))
			e.frontend.RemoveEndpoint(id)
			continue
		}
		if r.Restored {
			e.frontend.RestoreEndpoint(d)
		} else {
			e.frontend.UpdateEndpoint(d)
		}
	}
}
