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

// latencyDigits is the precision of the histograms in decimal digits; they count in microseconds up to a minute.
const latencyDigits = 3

// call is a completion of one model at one place.
type call struct {
	url   string
	model string
	// fencing is the number that the engine expects of a direct call; zero for a call through the entry.
	fencing ident.Incarnation
}

// result is the outcome of one measurement.
type result struct {
	latency *hdrhistogram.Histogram
	failed  int64
	// failure is the error of one failed call.
	failure error
	took    time.Duration
}

func (r result) rate() float64        { return float64(r.latency.TotalCount()) / r.took.Seconds() }
func (r result) at(p float64) float64 { return float64(r.latency.ValueAtQuantile(p)) / 1000 }
func (r result) count() int64         { return r.latency.TotalCount() }
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), latencyDigits)
}

// closedLoop lets a number of clients send one request after the other for a time; the calls are used in turn.
func closedLoop(ctx context.Context, calls []call, clients int, d time.Duration) (r result) {
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
			own := newHistogram()
			for i := n; ctx.Err() == nil; i++ {
				sent := time.Now()
				err := complete(ctx, client, calls[i%len(calls)])
				switch {
				case ctx.Err() != nil:
				case err != nil:
					failed.Add(1)
					failure.Store(&err)
				default:
					_ = own.RecordValue(time.Since(sent).Microseconds())
				}
			}
			mu.Lock()
			defer mu.Unlock()
			r.latency.Merge(own)
		})
	}
	wg.Wait()
	r.took, r.failed = time.Since(start), failed.Load()
	if err := failure.Load(); err != nil {
		r.failure = *err
	}
	return r
}

// complete sends one completion and reads its answer.
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
		err = eris.Errorf("status %d: %s", a.StatusCode, text)
	}
	return err
}
