package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/wire"
)

// Agent measures one agent process, first while it is idle and then while many entries poll it for load reports.
type Agent struct {
	Bin      string        `help:"Directory of the programs." default:"bin"`
	Entries  int           `help:"Entries, each with its own connection." default:"400"`
	Interval time.Duration `help:"Time between two reports to one entry." default:"6s"`
	Duration time.Duration `help:"Time of each measurement." default:"12s"`
}

// Run prints one line for the idle agent and one for the polled agent.
func (a *Agent) Run(ctx context.Context, out io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "measure an agent") }()
	dir, err := os.MkdirTemp("", "load")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &deployment{fleet: Fleet{Bin: a.Bin, Dir: dir}}
	defer d.fleet.Stop()
	if err = d.start(ctx, 1); err != nil {
		return err
	}
	view, err := readClaims(ctx, d.keyValueURL)
	if err != nil {
		return err
	}
	claim, _ := view.Claim(EngineName(0))
	if err = a.measure(ctx, out, d, "idle", func(context.Context) {}); err != nil {
		return err
	}
	return a.measure(ctx, out, d, "asked", func(ctx context.Context) { a.fetchReports(ctx, "http://"+claim.Address) })
}

// fetchReports polls the agent as the configured number of entries does, each at the same interval, until ctx ends.
func (a *Agent) fetchReports(ctx context.Context, url string) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range a.Entries {
		wg.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			client := wire.NewAgentProtobufClient(url, &http.Client{Transport: transport})
			next := time.After(a.Interval * time.Duration(i) / time.Duration(a.Entries))
			for {
				select {
				case <-ctx.Done():
					return
				case <-next:
				}
				next = time.After(a.Interval)
				_, _ = client.Report(ctx, &wire.ReportRequest{})
			}
		})
	}
}

// measure prints the processor time and memory of the agent process while activity runs.
func (a *Agent) measure(ctx context.Context, out io.Writer, d *deployment, name string, activity func(context.Context)) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	activityDone := make(chan struct{})
	go func() {
		activity(ctx)
		close(activityDone)
	}()
	defer func() {
		cancel()
		<-activityDone
	}()
	// The first round of reports opens the connections and is not measured.
	if err = sleep(ctx, a.Interval); err != nil {
		return err
	}
	before, err := ReadUsage(d.agents[0].PID())
	if err != nil {
		return err
	}
	if err = sleep(ctx, a.Duration); err != nil {
		return err
	}
	after, err := ReadUsage(d.agents[0].PID())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "agent: %s entries=%d reports_per_s=%.1f core_percent=%.2f rss_mb=%.1f load_average=%s\n", name, a.Entries,
		float64(a.Entries)/a.Interval.Seconds(), 100*(after.CPU-before.CPU).Seconds()/a.Duration.Seconds(),
		float64(after.Resident)/(1<<20), MachineLoad())
	return err
}

// sleep waits for the duration; it returns early with the error of ctx if ctx ends.
func sleep(ctx context.Context, d time.Duration) (err error) {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
