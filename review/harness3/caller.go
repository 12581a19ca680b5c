//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// caller sends requests to one entry over connections that it keeps.
type caller struct {
	entry  *process
	client *http.Client
	record *record
	wg     sync.WaitGroup
}

// request is one request of a caller.
type request struct {
	method, path, id, model string
	tokens, prefix          string
	body                    []byte
	timeout                 time.Duration
}

// outcome is what a caller got.
type outcome struct {
	ID       string `json:"id"`
	Entry    string `json:"entry"`
	SentAt   int64  `json:"sentAt"`
	EndedAt  int64  `json:"endedAt"`
	Status   int    `json:"status"`
	Seal     string `json:"seal,omitempty"`
	Limit    string `json:"limit,omitempty"`
	Bytes    int    `json:"bytes"`
	Pieces   int    `json:"pieces"`
	Complete bool   `json:"complete"`
	Error    string `json:"error,omitempty"`
	body     []byte
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix(), lastID.Add(1)) }

func newCaller(d *deployment, entry *process) *caller {
	t := &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 12 * time.Second, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &caller{entry: entry, record: d.record, client: &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// send sends a request and reads its answer to the end.
func (c *caller) send(x request) (o outcome) { return c.sendWithin(x, x.timeout+time.Second) }

// sendWithin is send, and the caller gives up after a time.
func (c *caller) sendWithin(x request, patience time.Duration) (o outcome) {
	if x.id == "" {
		x.id = newID()
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var body io.Reader
	if x.body != nil {
		body = bytes.NewReader(x.body)
	}
	o = outcome{ID: x.id, Entry: c.entry.name, SentAt: time.Now().UnixMicro()}
	defer func() {
		o.EndedAt = time.Now().UnixMicro()
		c.record.write("answer", o)
	}()
	r, err := http.NewRequestWithContext(ctx, x.method, "http://"+c.entry.at+x.path, body)
	if err != nil {
		o.Error = err.Error()
		return o
	}
	r.Host = host
	set := func(name, value string) {
		if value != "" {
			r.Header[name] = []string{value}
		}
	}
	set("Shallotring-Attempt-Id", x.id)
	set("Shallotring-Deadline-Ms", fmt.Sprint(x.timeout.Milliseconds()))
	set("Shallotring-Model", x.model)
	set("Shallotring-Token-Usage", x.tokens)
	set("Shallotring-Prompt-Prefix", x.prefix)
	response, err := c.client.Do(r)
	if err != nil {
		o.Error = err.Error()
		return o
	}
	defer response.Body.Close()
	o.Status, o.Seal, o.Limit = response.StatusCode, response.Header.Get("Shallotring-Server-Seal"), response.Header.Get("Server-Limit")
	o.body, err = io.ReadAll(response.Body)
	o.Bytes, o.Complete = len(o.body), err == nil
	if err != nil && !errors.Is(err, io.EOF) {
		o.Error = err.Error()
	}
	o.Pieces = strings.Count(string(o.body), x.id)
	return o
}

// sendAll sends requests at a rate for some time without waiting for the answers; wait waits for them.
func (c *caller) sendAll(perSecond float64, d time.Duration, next func() request, take func(outcome)) {
	c.wg.Go(func() {
		start, interval := time.Now(), time.Duration(float64(time.Second)/perSecond)
		for n := 0; time.Since(start) < d; n++ {
			time.Sleep(time.Until(start.Add(time.Duration(n) * interval)))
			x := next()
			c.wg.Go(func() { take(c.send(x)) })
		}
	})
}

func (c *caller) wait() { c.wg.Wait() }
