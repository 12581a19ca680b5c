package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"shallotring.dev/standin/engine"
	"shallotring.dev/state/ident"
)

// histogramDigits is the precision of the histograms in decimal digits. The values are in microseconds, up to a minute.
const histogramDigits = 3

// call is a completion request for one model to an entry or directly to an engine.
type call struct {
	url   string
	model string
	// fencing is the fencing number that the engine expects in a direct call; zero for a call through the entry.
	fencing ident.Incarnation
}

// result is the outcome of one measurement.
type result struct {
	latency *hdrhistogram.Histogram
	failed  int64
	// failure is the error of one failed call.
	failure  error
	duration time.Duration
}

// perSecond returns the rate of served calls, percentile a latency in milliseconds, count the number of served calls.
func (r result) perSecond() float64           { return float64(r.latency.TotalCount()) / r.duration.Seconds() }
func (r result) percentile(p float64) float64 { return float64(r.latency.ValueAtQuantile(p)) / 1000 }
func (r result) count() int64                 { return r.latency.TotalCount() }
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), histogramDigits)
}

// runClients lets a number of clients send requests for the given time. Each client sends its next request when it has received the
// response to the last one, and the calls are used in turn.
func runClients(ctx context.Context, calls []call, clients int, d time.Duration) (r result) {
	transport := &http.Transport{MaxIdleConnsPerHost: clients}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		failed  atomic.Int64
		failure atomic.Pointer[error]
	)
	r.latency = newHistogram()
	start := time.Now()
	for n := range clients {
		wg.Go(func() {
			clientLatency := newHistogram()
			for i := n; ctx.Err() == nil; i++ {
				sent := time.Now()
				err := complete(ctx, client, calls[i%len(calls)])
				switch {
				case ctx.Err() != nil:
				case err != nil:
					failed.Add(1)
					failure.Store(&err)
				default:
					_ = clientLatency.RecordValue(time.Since(sent).Microseconds())
				}
			}
			mu.Lock()
			defer mu.Unlock()
			r.latency.Merge(clientLatency)
		})
	}
	wg.Wait()
	r.duration, r.failed = time.Since(start), failed.Load()
	if err := failure.Load(); err != nil {
		r.failure = *err
	}
	return r
}

// complete sends one completion request and reads the response.
func complete(ctx context.Context, client *http.Client, c call) (err error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"Summarise the borehole log.","max_tokens":16}`, c.model)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Content-Type", "application/json")
	if c.fencing != 0 {
		q.Header.Set(engine.HeaderFencing, strconv.FormatInt(int64(c.fencing), 10))
	}
	a, err := client.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode != http.StatusOK {
		err = eris.Errorf("completion returned status %d: %s", a.StatusCode, text)
	}
	return err
}
