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

// Overhead compares direct calls of the engine stand-ins with calls through one entry.
type Overhead struct {
	Bin      string        `help:"Directory of the programs." default:"bin"`
	Engines  int           `help:"Engines, each with its agent." default:"4"`
	Clients  []int         `help:"Numbers of clients that send at once." default:"1,8,64"`
	Duration time.Duration `help:"Time of each measurement." default:"5s"`
	Repeat   int           `help:"Number of runs." default:"3"`
	Keep     string        `help:"Directory for settings and logs; a temporary one by default."`
}

// deployment is the started fleet of one run.
type deployment struct {
	fleet  Fleet
	entry  *Process
	agents []*Process
	url    string
	// keyValue is the URL of the key-value stand-in.
	keyValue string
	engines  []string
	direct   []call
	through  []call
}

// Run prints one line per number of clients and run.
func (o *Overhead) Run(ctx context.Context, out io.Writer) (err error) {
	for n := range o.Repeat {
		if err = o.once(ctx, out, n+1); err != nil {
			return err
		}
	}
	return nil
}

func (o *Overhead) once(ctx context.Context, out io.Writer, run int) (err error) {
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
	direct := closedLoop(ctx, d.direct, clients, o.Duration)
	before, err := d.usage()
	if err != nil {
		return err
	}
	through := closedLoop(ctx, d.through, clients, o.Duration)
	after, err := d.usage()
	if err != nil {
		return err
	}
	requests := max(float64(through.count()), 1)
	if err = errors.Join(direct.failure, through.failure); err != nil {
		return eris.Wrap(err, "a call failed")
	}
	perRequest := func(i int) float64 { return float64((after[i] - before[i]).Microseconds()) / requests }
	_, err = fmt.Fprintf(out, "overhead: run=%d clients=%d direct_p50_ms=%.3f direct_p99_ms=%.3f through_p50_ms=%.3f through_p99_ms=%.3f "+
		"added_p50_ms=%.3f direct_per_s=%.0f through_per_s=%.0f entry_cpu_us=%.0f agents_cpu_us=%.0f failed=%d load_average=%s\n",
		run, clients, direct.at(50), direct.at(99), through.at(50), through.at(99), through.at(50)-direct.at(50),
		direct.rate(), through.rate(), perRequest(0), perRequest(1), direct.failed+through.failed, MachineLoad())
	return err
}

// usage returns the processor time of the entry and of all agents.
func (d *deployment) usage() (cpu [2]time.Duration, err error) {
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

// start starts stand-ins, agents and one entry, and loads one adapter per engine.
func (d *deployment) start(ctx context.Context, engines int) (err error) {
	addresses := make([]string, 5+3*engines)
	for i := range addresses {
		if addresses[i], err = FreeAddress(); err != nil {
			return err
		}
	}
	keyValue, weights := "http://"+addresses[0], "http://"+addresses[1]
	d.keyValue = keyValue
	if _, err = d.fleet.Start("keyvalue", "standin", "keyvalue", "--listen="+addresses[0]); err != nil {
		return err
	}
	if _, err = d.fleet.Start("weights", "standin", "weights", "--listen="+addresses[1]); err != nil {
		return err
	}
	if err = Await(ctx, func() bool { return declare(ctx, keyValue, engines, adaptersPerEngine*engines) == nil }, "key-value stand-in"); err != nil {
		return err
	}
	d.url = "http://" + addresses[2]
	settings := EntrySettings(addresses[2], addresses[3], addresses[4], keyValue)
	if d.entry, err = d.fleet.StartWithSettings("entry", "entry", settings); err != nil {
		return err
	}
	for i := range engines {
		if err = d.startEngine(i, addresses[5+3*i:], keyValue, weights); err != nil {
			return err
		}
	}
	if err = AwaitOK(ctx, "http://"+addresses[3]+"/readyz"); err != nil {
		return err
	}
	return d.warm(ctx, keyValue, adaptersPerEngine*engines)
}

func (d *deployment) startEngine(i int, addresses []string, keyValue, weights string) (err error) {
	url := "http://" + addresses[0]
	d.engines = append(d.engines, url)
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
	return AwaitOK(context.Background(), "http://"+addresses[2]+"/readyz")
}

// warm loads every adapter through the entry and then lists where each one is, so that direct calls find it loaded.
func (d *deployment) warm(ctx context.Context, keyValue string, adapters int) (err error) {
	view, err := readView(ctx, keyValue)
	if err != nil {
		return err
	}
	for i := range adapters {
		c := call{url: d.url, model: string(Adapter(i).Name) + "@v2"}
		d.through = append(d.through, c)
		if err = Await(ctx, func() bool { return complete(ctx, http.DefaultClient, c) == nil }, c.model); err != nil {
			return err
		}
	}
	for i, url := range d.engines {
		claim, _ := view.Claim(EngineName(i))
		models, err := loaded(ctx, url)
		if err != nil {
			return err
		}
		for _, m := range models {
			d.direct = append(d.direct, call{url: url, model: m, fencing: claim.Incarnation})
		}
	}
	return nil
}

// readView reads the agents' claims; their incarnations are the fencing numbers.
func readView(ctx context.Context, keyValue string) (v *registry.View, err error) {
	store, err := keyvalue.New([]string{keyValue})
	if err != nil {
		return nil, err
	}
	defer store.Close()
	v = registry.NewView(store, quartz.NewReal(), timeline.Discard())
	return v, v.Read(ctx)
}

// loaded returns the adapters that an engine lists.
func loaded(ctx context.Context, url string) (models []string, err error) {
	defer func() { err = eris.Wrap(err, "list the models") }()
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
