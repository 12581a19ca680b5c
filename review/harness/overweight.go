//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"shallotring.dev/platform/standin"
)

func init() { cases["overweight"] = overweight }

// The memory of an engine, in MB: it holds its model and three adapters, although it has nine places for adapters.
const (
	memoryLimit = 66_500
	baseWeight  = 65_100
	loraWeight  = 400
	loraPlaces  = 9
)

// overweight asks for more adapters than the memory of the engines holds; an engine that is ordered to load too much crashes.
func overweight(r *record, trouble bool) (isBroken bool, err error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	var mu sync.Mutex
	tooMuch := 0
	lifetimes := make(map[string]int)
	crash := func(e *endpoint) {
		former := e.ID()
		if !e.server.stop() {
			return
		}
		f.write("crash    of %s", former)
		time.AfterFunc(3*heartbeat, func() { f.store.Delete("servers/" + former) })
		time.AfterFunc(crashedFor, func() {
			mu.Lock()
			lifetimes[e.name]++
			e.Rename(fmt.Sprintf("%s-%d", e.name, lifetimes[e.name]+1))
			mu.Unlock()
			e.Start()
			if err := e.server.start(); err != nil {
				f.write("%s does not start: %v", e.ID(), err)
			}
		})
	}
	f.wrap = func(e *endpoint) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path != "/order" {
				e.Engine.ServeHTTP(w, q)
				return
			}
			body, err := io.ReadAll(q.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			q.Body = io.NopCloser(strings.NewReader(string(body)))
			var o struct{ Op, Model, Adapter string }
			// The engine answers 400 to an order that cannot be read.
			_ = json.Unmarshal(body, &o)
			held := e.held()
			answer := httptest.NewRecorder()
			e.Engine.ServeHTTP(answer, q)
			f.write("order    to %s: %s %s %s with %d adapters: %d", e.ID(), o.Op, o.Model, o.Adapter, held, answer.Code)
			if weight := baseWeight + (held+1)*loraWeight; answer.Code == http.StatusAccepted && o.Op == "model_load" && o.Adapter != "" && weight > memoryLimit {
				mu.Lock()
				tooMuch++
				mu.Unlock()
				f.write("too much for %s: %d MB of %d MB", e.ID(), weight, memoryLimit)
				go crash(e)
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(answer.Code)
		})
	}
	for i := range 2 {
		if _, err = f.addEndpoint(fmt.Sprint("llm-", i), engineService, zone, engineGroup, i, standin.WithModel(modelName, loraPlaces, 250*time.Millisecond),
			standin.WithPace(10, 100*time.Millisecond)); err != nil {
			return false, err
		}
	}
	type object = map[string]any
	value, err := json.Marshal(object{"version": 7,
		"routes": []object{{"name": "chat", "host": requestHost, "prefix": "/chat/", "kind": "streaming", "timeoutMs": 5000, "latencyGoalMs": 1000, "priority": 1, "service": engineService,
			"maxAttempts": 1, "sticky": true, "resumable": false, "gapTargetMs": 400}},
		"services": []object{{"name": engineService, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "engine": object{"slots": 64, "kvCapacity": 262134, "weightsMb": memoryLimit,
			"maxAdapters": loraPlaces, "loadsPerS": 4.2, "models": []object{{"name": modelName, "weightsMb": baseWeight, "loadS": 1.9, "adapters": 3000, "adapterMb": loraWeight}}}}},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	if err != nil {
		return false, err
	}
	f.store.Put("op/config", value)
	f.write("an engine has %d MB and %d places for adapters; the model has %d MB and an adapter %d MB, so that three adapters fit", memoryLimit, loraPlaces, baseWeight, loraWeight)
	for i := range 2 {
		if err = f.addEntry(i, zone); err != nil {
			return false, err
		}
	}
	if err = f.waitReady(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	sent, served, broken := 0, 0, 0
	for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(250 * time.Millisecond) {
		sent++
		n := sent
		// Three adapters are in use; the disturbance asks for rarely used ones as well.
		adapter := n%3 + 1
		if trouble && time.Since(start) > 8*time.Second && n%2 == 0 {
			adapter = 100 + n/2%8
		}
		wg.Go(func() {
			a := f.send(n%2, standin.Call{ID: fmt.Sprintf("%016x", 0x5000+n), Method: http.MethodPost, Target: "/chat/1", Host: requestHost, Body: "log", Timeout: 5 * time.Second,
				Model: fmt.Sprintf("%s/a%d", modelName, adapter), Shared: standin.Part{ID: sharedPart, Tokens: 200}, Own: standin.Part{ID: uint64(n), Tokens: 600}, MaxOutputTokens: 80})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.served():
				served++
			case a.status == http.StatusOK || a.status == 0 || a.status == http.StatusBadGateway:
				broken++
			}
		})
	}
	wg.Wait()
	if err = f.checkProcesses(); err != nil {
		return false, err
	}
	mu.Lock()
	defer mu.Unlock()
	return r.conclude(tooMuch > 0, "%d orders to load more than the engine's memory holds, each of which crashed an engine; of %d requests %d were served and %d broken off", tooMuch, sent, served, broken), nil
}

// held returns the number of adapters that an engine holds or is loading, according to its report.
func (e *endpoint) held() (n int) {
	answer := httptest.NewRecorder()
	e.Engine.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/report", nil))
	var report struct {
		Models  []struct{ Adapters []string }
		Pending []string
	}
	if err := json.Unmarshal(answer.Body.Bytes(), &report); err != nil {
		panic(err)
	}
	for _, m := range report.Models {
		n += len(m.Adapters)
	}
	return n + len(report.Pending)
}
