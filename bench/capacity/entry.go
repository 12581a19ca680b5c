package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/bench/load"
)

// startupTime is the time between the start of processes and their measurement, in which they become idle.
const startupTime = 8 * time.Second

// Entry measures one idle entry process at different numbers of adapters and endpoints.
type Entry struct {
	Bin       string        `help:"Directory of the programs." default:"bin"`
	Adapters  []int         `help:"Numbers of adapters." default:"3000,10000,40000"`
	Endpoints []int         `help:"Numbers of endpoints." default:"20,200,600"`
	Duration  time.Duration `help:"Time of each measurement." default:"10s"`
	Changes   int           `help:"Configuration changes during the measurement."`
	Reports   int           `help:"ReportsPerSecond of the entry's settings; its default without it."`
}

// Run prints one line for each number of adapters with the first number of endpoints, one for each number of endpoints with the first
// number of adapters, and one for the last numbers of both.
func (e *Entry) Run(ctx context.Context, out io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "measure an entry") }()
	for _, n := range e.Adapters {
		if err = e.runOnce(ctx, out, n, e.Endpoints[0]); err != nil {
			return err
		}
	}
	for _, n := range e.Endpoints[1:] {
		if err = e.runOnce(ctx, out, e.Adapters[0], n); err != nil {
			return err
		}
	}
	return e.runOnce(ctx, out, e.Adapters[len(e.Adapters)-1], e.Endpoints[len(e.Endpoints)-1])
}

func (e *Entry) runOnce(ctx context.Context, out io.Writer, adapters, endpoints int) (err error) {
	s, err := newService()
	if err != nil {
		return err
	}
	defer s.stop()
	agents := &agentStub{}
	var agentTraffic traffic
	address, stopAgents, err := serve(agents.handler(), &agentTraffic)
	if err != nil {
		return err
	}
	defer stopAgents()
	if err = s.declare(ctx, adapters, endpoints); err != nil {
		return err
	}
	if err = s.writeClaims(ctx, endpoints, address, agents); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet := &load.Fleet{Bin: e.Bin, Dir: dir}
	defer fleet.Stop()
	p, err := e.startEntry(ctx, fleet, s.url)
	if err != nil {
		return err
	}
	if err = sleep(ctx, startupTime); err != nil {
		return err
	}
	before, err := load.ReadUsage(p.PID())
	if err != nil {
		return err
	}
	keyValueBytes, reports, reportBytes := s.traffic.total(), agents.reports.Load(), agentTraffic.total()
	if err = e.makeChanges(ctx, s, adapters); err != nil {
		return err
	}
	after, err := load.ReadUsage(p.PID())
	if err != nil {
		return err
	}
	seconds := e.Duration.Seconds()
	fetched := agents.reports.Load() - reports
	_, err = fmt.Fprintf(out, "entry: adapters=%d endpoints=%d changes=%d rss_mb=%.1f peak_mb=%.1f core_percent=%.2f reports_per_s=%.1f "+
		"report_bytes=%.0f keyvalue_bytes_per_s=%.0f load_average=%s\n",
		adapters, endpoints, e.Changes, mebibytes(after.Resident), mebibytes(after.Peak), 100*(after.CPU-before.CPU).Seconds()/seconds,
		float64(fetched)/seconds, float64(agentTraffic.total()-reportBytes)/max(float64(fetched), 1),
		float64(s.traffic.total()-keyValueBytes)/seconds, load.MachineLoad())
	return err
}

// makeChanges makes the configuration changes at even intervals during the measurement and returns at its end.
func (e *Entry) makeChanges(ctx context.Context, s *service, adapters int) (err error) {
	end := time.Now().Add(e.Duration)
	for i := range e.Changes {
		if err = s.changeDefault(ctx, i%adapters); err != nil {
			return err
		}
		if err = sleep(ctx, e.Duration/time.Duration(e.Changes+1)); err != nil {
			return err
		}
	}
	return sleep(ctx, time.Until(end))
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

func (e *Entry) startEntry(ctx context.Context, fleet *load.Fleet, keyValue string) (p *load.Process, err error) {
	var addresses [3]string
	for i := range addresses {
		if addresses[i], err = load.FreeAddress(); err != nil {
			return nil, err
		}
	}
	text := load.EntrySettings(addresses[0], addresses[1], addresses[2], keyValue)
	if e.Reports > 0 {
		text += fmt.Sprintf("ReportsPerSecond = %d\n", e.Reports)
	}
	p, err = fleet.StartWithSettings("entry", "entry", text)
	if err != nil {
		return nil, err
	}
	return p, load.WaitUntilOK(ctx, "http://"+addresses[1]+"/readyz")
}

func mebibytes(n int64) float64 { return float64(n) / (1 << 20) }
