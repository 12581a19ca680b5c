package local

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// BenchmarkRequest sends completions through the entry and the agents in one process. With -cpuprofile it shows the CPU cost of
// a request; the profile also contains the stand-ins and the client.
func BenchmarkRequest(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	logs, err := os.Create(filepath.Join(b.TempDir(), "log"))
	if err != nil {
		b.Fatal(err)
	}
	defer logs.Close()
	d, err := New(ctx, WithAddresses(anyPort, anyPort), WithTokenInterval(0), WithLog(logs, slog.LevelInfo))
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	defer func() {
		cancel()
		<-done
	}()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	send := func(n int) (status int) {
		body := fmt.Sprintf(`{"model":"adapter-%02d","prompt":"Summarise the borehole log.","max_tokens":16}`, n%8+1)
		resp, err := client.Post("http://"+d.Address()+"/v1/completions", "application/json", strings.NewReader(body))
		if err != nil {
			b.Error(err)
			return 0
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	// Loads the adapters of the benchmark before the timer starts.
	for n := range 8 {
		for send(n) != http.StatusOK {
			if b.Failed() {
				return
			}
		}
	}
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for n := 0; p.Next(); n++ {
			if s := send(n); s != http.StatusOK {
				b.Errorf("status %d", s)
			}
		}
	})
}
