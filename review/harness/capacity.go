//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"shallotring.dev/platform/standin"
)

func init() { cases["capacity"] = playCapacity }

// The memory of an engine and what it holds, in MB, as the configuration states them. Beside the model, an engine has memory for seven of its
// nine adapter places.
const (
	engineMemory   = 66500
	modelMemory    = 65100
	adapterMemory  = 200
	adapterPlaces  = 9
	fittingCount   = (engineMemory - modelMemory) / adapterMemory
	rareCount      = 60
	capacityEngine = 3
	capacityLength = 40 * time.Second
)

// capacityConfiguration is a configuration as the operator writes it.
func capacityConfiguration() []byte {
	type object = map[string]any
	b, err := json.Marshal(object{
		"version": 3,
		"routes": []object{{"name": "r-i9n73hh", "host": requestHost, "prefix": "/lohu930/", "kind": "streaming", "timeoutMs": 5000, "latencyGoalMs": 1000, "priority": 1,
			"service": engineService, "maxAttempts": 1, "sticky": true, "resumable": false, "gapTargetMs": 400}},
		"services": []object{{"name": engineService, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "engine": object{
			"slots": 64, "kvCapacity": 262134, "models": []object{{"name": modelName, "weightsMb": modelMemory, "loadS": 1.9, "adapters": 3000, "adapterMb": adapterMemory}},
			"weightsMb": engineMemory, "maxAdapters": adapterPlaces, "loadsPerS": 4.2,
		}}},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 60000},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// limitedEngine is an engine that crashes when it is ordered to load more than its memory or its adapter places hold.
type limitedEngine struct {
	*endpoint
	overloaded func(order string, adapters int)
	mu         sync.Mutex
}

// adapters returns the number of adapters that the engine holds or loads.
func (e *limitedEngine) adapters() (n int) {
	answer := httptest.NewRecorder()
	e.Engine.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/report", nil))
	var report struct {
		Models []struct {
			Adapters []string `json:"adapters"`
		} `json:"models"`
		Pending []string `json:"pending"`
	}
	if json.Unmarshal(answer.Body.Bytes(), &report) != nil {
		return 0
	}
	for _, m := range report.Models {
		n += len(m.Adapters)
	}
	return n + len(report.Pending)
}

// ServeHTTP serves one call.
func (e *limitedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/order" {
		e.Engine.ServeHTTP(w, r)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	before := e.adapters()
	answer := httptest.NewRecorder()
	e.Engine.ServeHTTP(answer, r)
	if n := e.adapters(); n > before && (modelMemory+n*adapterMemory > engineMemory || n > adapterPlaces) {
		e.overloaded(string(b), n)
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// playCapacity asks for many rare adapters of a size of which an engine's memory holds fewer than it has adapter places.
func playCapacity(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	var mu sync.Mutex
	started, overloads := make(map[string]bool), 0
	f.wrap = func(e *endpoint) http.Handler {
		return &limitedEngine{endpoint: e, overloaded: func(order string, n int) {
			mu.Lock()
			defer mu.Unlock()
			overloads++
			id := e.ID()
			f.write("overload %s is ordered to hold %d adapters and %d MB of %d MB: %s; it crashes", id, n, modelMemory+n*adapterMemory, engineMemory, order)
			go e.server.stop()
			time.AfterFunc(engineRestart, func() {
				e.Rename(fmt.Sprintf("%s-%d", e.name, 1+overloads))
				time.AfterFunc(max(3*heartbeat-engineRestart, 0), func() { f.store.Delete("servers/" + id) })
				e.Start()
				f.write("back     %s", e.ID())
				if err := e.server.start(); err != nil {
					f.write("%s could not start again: %v", e.name, err)
				}
			})
		}}
	}
	for i := range capacityEngine {
		if _, err = f.addEndpoint(fmt.Sprint("llm-", i), engineService, zone, engineGroup, i, standin.WithModel(modelName, adapterPlaces, 250*time.Millisecond),
			standin.WithPace(13, 40*time.Millisecond), standin.WithJournal(func(a standin.Arrival) {
				f.write("arrived  %s at %s: runs %t", a.ID, a.Engine, a.Ran)
				mu.Lock()
				defer mu.Unlock()
				started[a.ID] = started[a.ID] || a.Ran
			})); err != nil {
			return false, err
		}
	}
	f.store.Put("op/config", capacityConfiguration())
	for i := range entryCount {
		if err = f.addEntry(i, zone); err != nil {
			return false, err
		}
	}
	if err = f.waitReady(); err != nil {
		return false, err
	}
	adapters := fittingCount
	if trouble {
		adapters = rareCount
	}
	var wg sync.WaitGroup
	sent, served, lost := 0, 0, 0
	for n, end := 0, time.Now().Add(capacityLength); time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", rand.Uint64())
		c := standin.Call{ID: id, Method: "POST", Target: "/lohu930/2f", Host: requestHost, Body: "summarise " + id, Timeout: 5 * time.Second,
			Model: fmt.Sprintf("%s/a%d", modelName, 1+rand.IntN(adapters)), MaxOutputTokens: 80,
			Shared: standin.Part{ID: firstPart, Tokens: 800}, Own: standin.Part{ID: rand.Uint64(), Tokens: 250}}
		wg.Go(func() {
			a := f.send(n%entryCount, c)
			mu.Lock()
			defer mu.Unlock()
			if sent++; a.served() {
				served++
			} else if started[id] {
				lost++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	if err = f.checkProcesses(); err != nil {
		return false, err
	}
	mu.Lock()
	defer mu.Unlock()
	return f.conclude(overloads > 0, "%d orders to load more than an engine holds, each of which crashed it; of %d requests for %d adapters %d were served and %d were begun and not completed",
		overloads, sent, adapters, served, lost), nil
}
