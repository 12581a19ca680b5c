package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/openai"
	"shallotring.dev/transport/timeline"
)

const adaptersPerEngine = 4

// Overhead compares direct calls to the engine stand-ins with calls through one entry.
type Overhead struct {
	Bin      string        `help:"Directory of the programs." default:"bin"`
	Engines  int           `help:"Engines, each with its agent." default:"4"`
	Clients  []int         `help:"Numbers of clients that send at once." default:"1,8,64"`
	Duration time.Duration `help:"Time of each measurement." default:"5s"`
	Repeat   int           `help:"Number of runs." default:"3"`
	Keep     string        `help:"Directory for settings and logs; a temporary one by default."`
}

// deployment is the set of processes of one run.
type deployment struct {
	fleet    Fleet
	entry    *Process
	agents   []*Process
	entryURL string
	// keyValueURL is the URL of the key-value stand-in.
	keyValueURL string
	engineURLs  []string
	directCalls []call
	entryCalls  []call
}

// Run prints one line for each number of clients in each run.
func (o *Overhead) Run(ctx context.Context, out io.Writer) (err error) {
	for n := range o.Repeat {
		if err = o.runOnce(ctx, out, n+1); err != nil {
			return err
		}
	}
	return nil
}

func (o *Overhead) runOnce(ctx context.Context, out io.Writer, run int) (err error) {
	defer func() { err = eris.Wrap(err, "measure the proxy overhead") }()
	dir := o.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "load"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	d := &deployment{fleet: Fleet{Bin: o.Bin, Dir: dir}}
	defer d.fleet.Stop()
	if err = d.start(ctx, o.Engines); err != nil {
		return err
	}
	for _, clients := range o.Clients {
		if err = o.compare(ctx, out, d, run, clients); err != nil {
			return err
		}
	}
	return nil
}

func (o *Overhead) compare(ctx context.Context, out io.Writer, d *deployment, run, clients int) (err error) {
	direct := runClients(ctx, d.directCalls, clients, o.Duration)
	before, err := d.cpuTimes()
	if err != nil {
		return err
	}
	through := runClients(ctx, d.entryCalls, clients, o.Duration)
	after, err := d.cpuTimes()
	if err != nil {
		return err
	}
	requests := max(float64(through.count()), 1)
	if err = errors.Join(direct.failure, through.failure); err != nil {
		return eris.Wrap(err, "a completion request failed")
	}
	perRequest := func(i int) float64 { return float64((after[i] - before[i]).Microseconds()) / requests }
	_, err = fmt.Fprintf(out, "overhead: run=%d clients=%d direct_p50_ms=%.3f direct_p99_ms=%.3f through_p50_ms=%.3f through_p99_ms=%.3f "+
		"added_p50_ms=%.3f direct_per_s=%.0f through_per_s=%.0f entry_cpu_us=%.0f agents_cpu_us=%.0f failed=%d load_average=%s\n",
		run, clients, direct.percentile(50), direct.percentile(99), through.percentile(50), through.percentile(99),
		through.percentile(50)-direct.percentile(50),
		direct.perSecond(), through.perSecond(), perRequest(0), perRequest(1), direct.failed+through.failed, MachineLoad())
	return err
}

// cpuTimes returns the processor time of the entry and the sum of those of all agents.
func (d *deployment) cpuTimes() (cpu [2]time.Duration, err error) {
	for i, list := range [][]*Process{{d.entry}, d.agents} {
		for _, p := range list {
			u, err := ReadUsage(p.PID())
			if err != nil {
				return cpu, err
			}
			cpu[i] += u.CPU
		}
	}
	return cpu, nil
}

// start starts the stand-ins, agents and one entry, and loads adaptersPerEngine adapters per engine.
func (d *deployment) start(ctx context.Context, engines int) (err error) {
	// The first five addresses belong to the key-value service, the weight store and the entry (API, admin port, peers). Each engine
	// has three more: its own, and the peer address and the admin port of its agent.
	addresses := make([]string, 5+3*engines)
	for i := range addresses {
		if addresses[i], err = FreeAddress(); err != nil {
			return err
		}
	}
	keyValue, weights := "http://"+addresses[0], "http://"+addresses[1]
	d.keyValueURL = keyValue
	if _, err = d.fleet.Start("keyvalue", "standin", "keyvalue", "--listen="+addresses[0]); err != nil {
		return err
	}
	if _, err = d.fleet.Start("weights", "standin", "weights", "--listen="+addresses[1]); err != nil {
		return err
	}
	if err = WaitUntil(ctx,
		func() bool { return declareResources(ctx, keyValue, engines, adaptersPerEngine*engines) == nil }, "key-value stand-in"); err != nil {
		return err
	}
	d.entryURL = "http://" + addresses[2]
	settings := EntrySettings(addresses[2], addresses[3], addresses[4], keyValue)
	if d.entry, err = d.fleet.StartWithSettings("entry", "entry", settings); err != nil {
		return err
	}
	for i := range engines {
		if err = d.startEngine(i, addresses[5+3*i:], keyValue, weights); err != nil {
			return err
		}
	}
	if err = WaitUntilOK(ctx, "http://"+addresses[3]+"/readyz"); err != nil {
		return err
	}
	return d.loadAdapters(ctx, keyValue, adaptersPerEngine*engines)
}

func (d *deployment) startEngine(i int, addresses []string, keyValue, weights string) (err error) {
	url := "http://" + addresses[0]
	d.engineURLs = append(d.engineURLs, url)
	name := EngineName(i)
	_, err = d.fleet.Start(string(name), "standin", "engine", "--listen="+addresses[0], "--weights="+weights,
		fmt.Sprint("--slots=", slots), fmt.Sprint("--batch-size=", batchSize), "--token-interval=0s", "--checks-fencing")
	if err != nil {
		return err
	}
	agent, err := d.fleet.StartWithSettings("agent-"+string(name), "agent", AgentSettings(name, url, addresses[1], addresses[2], keyValue))
	if err != nil {
		return err
	}
	d.agents = append(d.agents, agent)
	return WaitUntilOK(context.Background(), "http://"+addresses[2]+"/readyz")
}

// loadAdapters loads every adapter through the entry and then lists the adapters of each engine, so that direct calls use loaded
// ones.
func (d *deployment) loadAdapters(ctx context.Context, keyValue string, adapters int) (err error) {
	view, err := readClaims(ctx, keyValue)
	if err != nil {
		return err
	}
	for i := range adapters {
		c := call{url: d.entryURL, model: string(Adapter(i).Name) + "@v2"}
		d.entryCalls = append(d.entryCalls, c)
		if err = WaitUntil(ctx, func() bool { return complete(ctx, http.DefaultClient, c) == nil }, c.model); err != nil {
			return err
		}
	}
	for i, url := range d.engineURLs {
		claim, _ := view.Claim(EngineName(i))
		models, err := loadedAdapters(ctx, url)
		if err != nil {
			return err
		}
		for _, m := range models {
			d.directCalls = append(d.directCalls, call{url: url, model: m, fencing: claim.Incarnation})
		}
	}
	return nil
}

// readClaims reads the agents' claims, whose incarnations are the fencing numbers.
func readClaims(ctx context.Context, keyValue string) (v *registry.View, err error) {
	store, err := keyvalue.New([]string{keyValue})
	if err != nil {
		return nil, err
	}
	defer store.Close()
	v = registry.NewView(store, quartz.NewReal(), timeline.Discard())
	return v, v.Read(ctx)
}

// loadedAdapters returns the adapters that an engine lists.
func loadedAdapters(ctx context.Context, url string) (models []string, err error) {
	defer func() { err = eris.Wrap(err, "list the models of an engine") }()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/models", http.NoBody)
	if err != nil {
		return nil, err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	var list openai.ModelList
	if err = json.NewDecoder(a.Body).Decode(&list); err != nil {
		return nil, err
	}
	for _, m := range list.Data {
		if strings.Contains(m.ID, "@") {
			models = append(models, m.ID)
		}
	}
	return models, nil
}
