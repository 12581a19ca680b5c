package direct

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/mirror"
	"shallotring.dev/daemon/sidecar"
	"shallotring.dev/platform/boot"
	"shallotring.dev/platform/catalog"
	"shallotring.dev/platform/engine"
	"shallotring.dev/platform/store"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/admin"
)

// claimPrefix is the prefix of the claim keys, one for each host; the position of the last write of a key is the fencing number of the
// agent on that host.
const claimPrefix = "shallotring/agents/"

const (
	// configurationWatchTimeout and configurationFullReadInterval are long: an agent needs only the base model and the number of
	// adapter slots of the configuration, and each call to the store is paid for.
	configurationWatchTimeout     = 30 * time.Second
	configurationFullReadInterval = time.Minute
	// agentProbeShare is the longest silence of the store for an agent, in the same unit as probeShare.
	agentProbeShare = 2
)

// Agent is the program that runs beside an engine.
type Agent struct {
	settings boot.Settings
	log      *slog.Logger
	// configuration is the version of the configuration in force; only the mirror's goroutine uses it.
	configuration int64
}

// NewAgent returns an agent for the settings.
func NewAgent(s boot.Settings, log *slog.Logger) *Agent { return &Agent{settings: s, log: log} }

// Run controls the engine until the context ends.
func (a *Agent) Run(ctx context.Context, metricsAddress string) (err error) {
	defer func() { err = eris.Wrap(err, "run agent") }()
	set := metrics.NewSet()
	client := store.New(a.settings.Store, store.WithProbeInterval(scale(a.settings.ConfigurationTimeout, agentProbeShare)))
	claim := func(ctx context.Context) (fencingNumber ident.Incarnation, err error) {
		at, err := client.Put(ctx, claimPrefix+string(a.settings.Host), []byte(strconv.Itoa(os.Getpid())))
		return at.FencingNumber(), err
	}
	s := sidecar.New(engine.New(a.settings.Engine, a.settings.Host), claim, sidecar.WithLog(a.log), sidecar.WithMetrics(set), sidecar.WithQuotaSlack(a.settings.QuotaSlack))
	operators := mirror.New(client, catalog.ConfigurationKey, func(list []mirror.Record) { a.configure(s, list) },
		mirror.WithLog(a.log), mirror.WithWatchTimeout(configurationWatchTimeout), mirror.WithWatchPause(a.settings.ConfigurationTimeout), mirror.WithFullReadInterval(configurationFullReadInterval))
	l, err := net.Listen("tcp", net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.ControlPort)))
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if metricsAddress != "" {
		metricsListener, err := net.Listen("tcp", metricsAddress)
		if err != nil {
			return err
		}
		metricsServer := &http.Server{Handler: admin.Handler(set, func() string { return "" }), ReadHeaderTimeout: headerTimeout}
		wg.Go(func() {
			if err := metricsServer.Serve(metricsListener); !eris.Is(err, http.ErrServerClosed) {
				a.log.Error("serving the metrics failed", slog.Any("Error", err))
			}
		})
		defer metricsServer.Close()
	}
	wg.Go(func() { operators.Run(ctx) })
	a.log.Info("process started", slog.String("Engine", a.settings.Engine), slog.Int("Pid", os.Getpid()))
	err = s.Run(ctx, l)
	a.log.Info("process stopped", slog.Any("Error", err))
	return err
}

// configure applies the newest configuration; a store that was restored from an older copy may list an older one.
func (a *Agent) configure(s *sidecar.Sidecar, list []mirror.Record) {
	for _, r := range list {
		if r.Key != catalog.ConfigurationKey || r.Deleted {
			continue
		}
		t, err := catalog.DecodeConfiguration(r.Value)
		if err != nil {
			a.log.Error("configuration is invalid; the previous one stays in force", slog.Int64("Revision", int64(r.Revision)), slog.Any("Error", err))
			continue
		}
		if t.Version < a.configuration {
			a.log.Warn("configuration is older than the one in force; it is ignored", slog.Int64("Version", t.Version), slog.Int64("InForce", a.configuration), slog.Bool("Restored", r.Restored))
			continue
		}
		a.configuration = t.Version
		e := t.Services[a.settings.Service].Engine
		if e == nil || len(e.Models) == 0 {
			a.log.Warn("configuration has no base model for the engine; it is not applied", slog.Int64("Version", t.Version), slog.String("Service", string(a.settings.Service)))
			continue
		}
		s.Configure(*e)
		m, _ := e.Model()
		a.log.Info("configuration in force", slog.Int64("Version", t.Version), slog.String("Model", string(m.Name)), slog.Int("Adapters", e.Adapters),
			slog.Int("AdapterSlots", e.AdapterSlots()), slog.Float64("MemoryMegabytes", float64(e.Memory)), slog.Float64("ModelMegabytes", float64(m.Size)), slog.Float64("AdapterMegabytes", float64(m.AdapterSize)))
		if e.AdapterSlots() == 0 {
			a.log.Error("engine holds no adapter beside its base model", slog.Int64("Version", t.Version), slog.Bool("HoldsModel", e.HoldsModel()))
		}
	}
}
