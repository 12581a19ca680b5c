//go:build review

package main

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
)

func init() {
	cases["unframed-body"] = func(f *fleet, trouble bool) (broken int, err error) {
		return runUnframed(f, trouble, unframedCase{
			service: "custody-app", kind: "non_idempotent", timeout: time.Second, servers: 4, perSecond: 40,
			server: serverOptions{Unframed: true, Pieces: 8, Interval: 10 * time.Millisecond, Type: "application/octet-stream"},
		})
	}
	cases["unframed-stream"] = func(f *fleet, trouble bool) (broken int, err error) {
		return runUnframed(f, trouble, unframedCase{
			service: "geo-llm", kind: "streaming", timeout: 5 * time.Second, servers: 4, perSecond: 20,
			server: serverOptions{Model: "daka510000", Unframed: true, Pieces: 13, Interval: 40 * time.Millisecond, Type: "text/event-stream"},
		})
	}
}

// unframedCase has servers whose answers have neither a length nor chunks.
type unframedCase struct {
	service   string
	kind      string
	timeout   time.Duration
	servers   int
	perSecond int
	server    serverOptions
	// needFile is the NeedFile of the first server.
	needFile string
}

const (
	troubleDuration = 30 * time.Second
	// crashInterval and crashDuration are those of single servers that crash: one at a time of four is down for 2 s.
	crashInterval, crashDuration = 3 * time.Second, 2 * time.Second
	// expiry is the time after which the registration of a silent server is removed.
	expiry = 3 * heartbeat
)

// instance is one lifetime of a server.
type instance struct {
	*process
	serverOptions
	// cut is set while the server does not reach the store.
	cut atomic.Bool
}

// startServer starts a lifetime of a server and registers it until it ends.
func (f *fleet) startServer(o serverOptions, service string) (s *instance, err error) {
	p, err := f.spawn(o.ID, nil, selfProgram(), o.args()...)
	if err != nil {
		return nil, err
	}
	s = &instance{process: p, serverOptions: o}
	go func() {
		for {
			if !s.cut.Load() {
				f.store.Put("servers/"+o.ID, []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":"alverca-a","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"seq":0,"born":%d,"models":%s}`,
					service, o.Address, o.Born, modelsOf(o))))
			}
			select {
			case <-time.After(heartbeat):
			case <-p.done:
				time.Sleep(expiry)
				f.store.Delete("servers/" + o.ID)
				return
			case <-f.closed:
				return
			}
		}
	}()
	return s, nil
}

func modelsOf(o serverOptions) string {
	if o.Model == "" {
		return "[]"
	}
	return fmt.Sprintf(`[{"name":%q,"version":1,"adapters":[]}]`, o.Model)
}

// startFleet starts a service with its servers and one entry; restart starts the next lifetime of a server.
func (f *fleet) startFleet(c unframedCase) (servers []*instance, restart func(i int) (err error), err error) {
	group := 3
	service := map[string]any{"name": c.service, "maxConns": 100, "healthPath": "/health"}
	if c.server.Model != "" {
		group = 2
		service["engine"] = map[string]any{"slots": 64, "kvCapacity": 262134, "maxAdapters": 9, "weightsMb": 66500,
			"models": []any{map[string]any{"name": c.server.Model, "weightsMb": 65100, "loadS": 1.9, "adapters": 3000, "adapterMb": 12}}}
	}
	f.configure(7, []map[string]any{{"name": "r1", "host": "ficu95.example", "prefix": "/lohu930/", "kind": c.kind, "service": c.service, "timeoutMs": c.timeout.Milliseconds(),
		"latencyGoalMs": 150, "maxAttempts": 1, "priority": 0, "sticky": c.server.Model != "", "gapTargetMs": 400}}, []map[string]any{service})
	servers = make([]*instance, c.servers)
	restart = func(i int) (err error) {
		o := c.server
		o.Address, o.Born = f.at(group, i+1, serverPort), time.Now().UnixMilli()
		o.ID = fmt.Sprintf("i-%d-%d", i+1, o.Born)
		if i == 0 {
			o.NeedFile = c.needFile
		}
		servers[i], err = f.startServer(o, c.service)
		f.note("server %s started", o.ID)
		return err
	}
	for i := range servers {
		if err = restart(i); err != nil {
			return nil, nil, err
		}
		if c.server.Model != "" {
			if _, err = f.startAgent(i+1, c.service); err != nil {
				return nil, nil, err
			}
		}
	}
	if _, err = f.startEntry(1); err != nil {
		return nil, nil, err
	}
	if err = f.waitReady(1); err != nil {
		return nil, nil, err
	}
	time.Sleep(3 * time.Second)
	return servers, restart, nil
}

func runUnframed(f *fleet, trouble bool, c unframedCase) (broken int, err error) {
	servers, restart, err := f.startFleet(c)
	if err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	var answered, incomplete atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), troubleDuration)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}}
	wg.Add(1)
	go func() {
		defer wg.Done()
		t := time.NewTicker(time.Second / time.Duration(c.perSecond))
		defer t.Stop()
		for n := 1; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				switch f.sendUnframed(client, c, fmt.Sprintf("%016x", n)) {
				case whole:
					answered.Add(1)
				case shortened:
					incomplete.Add(1)
				}
			}()
		}
	}()
	for i := 0; trouble; i = (i + 1) % len(servers) {
		select {
		case <-ctx.Done():
			trouble = false
			continue
		case <-time.After(crashInterval - crashDuration):
		}
		servers[i].kill()
		f.note("server %s crashed", servers[i].ID)
		time.Sleep(crashDuration)
		if err = restart(i); err != nil {
			return 0, err
		}
	}
	wg.Wait()
	f.note("%d whole answers, %d answers that end early and look complete", answered.Load(), incomplete.Load())
	if answered.Load() < int64(c.perSecond)*10 {
		return 0, fmt.Errorf("only %d requests were answered", answered.Load())
	}
	return int(incomplete.Load()), nil
}

// result is what the consumer got.
type result int

// The results: a whole answer with success, one that looks complete and is not the server's whole body, or no success.
const (
	whole result = iota
	shortened
	failed
)

func (f *fleet) sendUnframed(client *http.Client, c unframedCase, id string) result {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.at(1, 1, frontPort)+"/lohu930/2f", strings.NewReader("box "+id))
	if err != nil {
		return failed
	}
	r.Host = "ficu95.example"
	r.Header.Set("Shallotring-Attempt-Id", id)
	r.Header.Set("Shallotring-Deadline-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	if c.server.Model != "" {
		r.Header.Set("Shallotring-Model", c.server.Model)
		r.Header.Set("Shallotring-Token-Usage", "410,52")
		r.Header.Set("Shallotring-Prompt-Prefix", sharedPart(id)+":160,"+id+":250")
	}
	f.note("request %s sent", id)
	resp, err := client.Do(r)
	if err != nil {
		f.note("request %s: no answer: %v", id, err)
		return failed
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	body := wholeBody(c.server, id)
	switch {
	case err != nil:
		f.note("request %s: the answer was broken off after %d bytes: %v", id, len(b), err)
		return failed
	case resp.StatusCode != http.StatusOK:
		f.note("request %s: status %d", id, resp.StatusCode)
		return failed
	case string(b) == body:
		f.note("request %s: 200 with the whole body of %d bytes", id, len(b))
		return whole
	}
	f.note("request %s: 200 with seal %q, complete by its framing (length %d, %v), with %d of the %d bytes of the server's body", id, resp.Header.Get("Shallotring-Server-Seal"),
		resp.ContentLength, resp.TransferEncoding, len(b), len(body))
	return shortened
}

// sharedParts is the number of prompt parts that requests share.
const sharedParts = 36

// sharedPart returns the part of its prompt that a request shares with others.
func sharedPart(id string) string {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("5c1e%04x", n%sharedParts)
}
