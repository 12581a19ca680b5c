//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"shallotring.dev/platform/standin"
)

// answer is what a consumer received; status 0 means that the connection ended before the head of an answer.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
	took     time.Duration
}

func (a answer) served() bool { return a.status == http.StatusOK && a.complete }

func (a answer) String() string {
	return fmt.Sprintf("status %d, %d bytes, complete %t, after %d ms", a.status, len(a.body), a.complete, a.took.Milliseconds())
}

// consumers send each request on a connection of its own and never repeat one.
var consumers = http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends one request to an entry, waits at most for its time budget, and records both.
func (f *fleet) send(entry int, c standin.Call) (a answer) {
	f.write("sent     %s to edge-%d: %s %s %s", c.ID, entry, c.Method, c.Target, c.Model)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout+time.Second)
	defer cancel()
	var body io.Reader
	if c.Body != "" {
		body = strings.NewReader(c.Body)
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+f.fronts[entry]+c.Target, body)
	if err != nil {
		panic(err)
	}
	r.Host = c.Host
	h := r.Header
	h.Set("Shallotring-Attempt-Id", c.ID)
	h.Set("Shallotring-Deadline-Ms", fmt.Sprint(c.Timeout.Milliseconds()))
	if c.Model != "" {
		tokens, parts := 0, []string{}
		for _, p := range append(append([]standin.Part{c.Shared}, c.Middle...), c.Own) {
			tokens += p.Tokens
			parts = append(parts, fmt.Sprintf("%x:%d", p.ID, p.Tokens))
		}
		h.Set("Shallotring-Model", c.Model)
		h.Set("Shallotring-Token-Usage", fmt.Sprintf("%d,%d", tokens, c.MaxOutputTokens))
		h.Set("Shallotring-Prompt-Prefix", strings.Join(parts, ","))
	}
	if response, err := consumers.Do(r); err == nil {
		b, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a = answer{status: response.StatusCode, header: response.Header, body: string(b), complete: err == nil}
	}
	a.took = time.Since(start)
	f.write("answered %s: %s", c.ID, a)
	return a
}
