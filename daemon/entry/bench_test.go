package entry

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/transport/timeline"
)

// The benchmarks compare a call through the entry with the same call to the fake agent.

func benchmarkClient(b *testing.B) *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: 256}
	b.Cleanup(t.CloseIdleConnections)
	return &http.Client{Transport: t}
}

func benchmarkCall(b *testing.B, c *http.Client, url string, body []byte) {
	r, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w, err := c.Do(r)
	if err != nil {
		b.Error(err)
		return
	}
	io.Copy(io.Discard, w.Body)
	w.Body.Close()
	if w.StatusCode != http.StatusOK {
		b.Errorf("status %d", w.StatusCode)
	}
}

func BenchmarkThroughEntry(b *testing.B) {
	r := startEntry(b, testSettings(), twoAgents(b), WithLog(timeline.New(io.Discard, timeline.Process{ID: "p"}, 0)))
	c := benchmarkClient(b)
	b.Run("serial", func(b *testing.B) {
		for b.Loop() {
			benchmarkCall(b, c, r.url+"/v1/chat/completions", []byte(chat))
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.SetParallelism(4)
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				benchmarkCall(b, c, r.url+"/v1/chat/completions", []byte(chat))
			}
		})
	})
}

func BenchmarkDirect(b *testing.B) {
	a := newFakeAgent(b)
	body, _ := proto.Marshal(&wire.RunRequest{
		ID: &wire.TryID{RequestID: "r", Try: 1}, Adapter: "core", Version: "v1", Body: []byte(strings.Repeat("x", len(chat))),
	})
	c := benchmarkClient(b)
	b.Run("serial", func(b *testing.B) {
		for b.Loop() {
			benchmarkCall(b, c, a.server.URL+"/run", body)
		}
	})
}
