//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["pause"] = runPause }

const (
	// needTime is the time for which a server wants no requests, and cutTime that for which it does not reach the store, some times meanwhile.
	needTime, cutTime = 40 * time.Second, 5 * time.Second
	cuts, cutPause    = 4, 4 * time.Second
	// maxInPause is the number of requests that may reach it after the first half second.
	maxInPause    = 2
	pauseReaction = 500 * time.Millisecond
)

// runPause cuts a server that has asked for time without requests off from the store, which removes its registration.
func runPause(f *fleet, trouble bool) (broken int, err error) {
	file := filepath.Join(f.dir, "need")
	c := unframedCase{service: "custody-app", kind: "non_idempotent", timeout: time.Second, servers: 5,
		server: serverOptions{Pieces: 8, Interval: 4 * time.Millisecond, Type: "application/octet-stream"}, needFile: file}
	servers, _, err := f.startFleet(c)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), needTime+3*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}}
	every(ctx, &wg, time.Second/30, 0, func(n int) { f.sendUnframed(client, c, fmt.Sprintf("%016x", n)) })
	time.Sleep(2 * time.Second)
	end := time.Now().Add(needTime)
	if err = os.WriteFile(file, []byte(fmt.Sprint(end.UnixMilli())), 0o600); err != nil {
		return 0, err
	}
	f.note("server %s wants no requests for %s", servers[0].ID, needTime)
	for n := 0; trouble && n < cuts; n++ {
		time.Sleep(cutPause)
		servers[0].cut.Store(true)
		f.note("server %s does not reach the store", servers[0].ID)
		time.Sleep(expiry)
		f.store.Delete("servers/" + servers[0].ID)
		f.note("the store has removed %s", servers[0].ID)
		time.Sleep(cutTime - expiry)
		servers[0].cut.Store(false)
		f.note("server %s reaches the store again", servers[0].ID)
	}
	wg.Wait()
	b, err := os.ReadFile(servers[0].log)
	if err != nil {
		return 0, err
	}
	first, inPause := int64(0), 0
	for l := range strings.Lines(string(b)) {
		var at int64
		var what string
		if _, err := fmt.Sscan(l, &at, &what); err != nil || what != "refuses" {
			continue
		}
		if first == 0 {
			first = at + queueTime.Milliseconds()
		}
		if at > first+pauseReaction.Milliseconds() && at < end.UnixMilli() {
			inPause++
		}
	}
	f.note("%d requests reached the server between half a second after its first 503 and the end of the time", inPause)
	if first == 0 {
		return 0, fmt.Errorf("no request reached the server in need")
	}
	return max(inPause-maxInPause, 0), nil
}
