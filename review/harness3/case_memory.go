//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"shallotring.dev/platform/standin"
)

func init() { cases["memory"] = playMemory }

// playMemory lets many callers send large bodies of legal size at once, which stop just short of their end and stay open. Beside them, ordinary callers open
// a connection for each request.
func playMemory(d *deployment, trouble bool) (result int, err error) {
	const (
		callers   = 2500
		bodyBytes = 1 << 20 // the limit of the configuration
		floodTime = 14 * time.Second
		// Ordinary requests are sent once the flood has been there for a while.
		floodStart = 4 * time.Second
		budget     = time.Second // that of pledge-record and stock-lookup
	)
	d.memoryMb, d.descriptors = 136, 2870
	for n := range 2 {
		if _, err = d.addEngine(fmt.Sprintf("i-desk%d", n+1), "desk", "", 64, false, "-pace", "20ms", "-events", "1"); err != nil {
			return unknown, err
		}
	}
	if err = d.addEntry(); err != nil {
		return unknown, err
	}
	d.store.Configure(7, []standin.Route{{Host: host, Prefix: "/order/", Kind: "idempotent", Service: "desk", Timeout: 5 * time.Second, LatencyGoal: 150 * time.Millisecond, Engines: 2}},
		[]standin.Service{{Name: "desk"}})
	if err = d.awaitReady(2 * time.Second); err != nil {
		return unknown, err
	}
	entry := d.entries[0]
	stop := time.Now().Add(floodTime)
	var opened, ended atomic.Int64
	for n := range callers {
		if trouble {
			go holdBodies(entry.at, time.Duration(n)*time.Millisecond, stop, bodyBytes, &opened, &ended)
		}
	}
	var sent, answered atomic.Int64
	var ordinary sync.WaitGroup
	ordinary.Go(func() {
		for time.Sleep(floodStart); time.Now().Before(stop.Add(-budget)); time.Sleep(40 * time.Millisecond) {
			ordinary.Go(func() {
				sent.Add(1)
				c := newCaller(d, entry)
				defer c.client.CloseIdleConnections()
				if o := c.sendWithin(request{method: "POST", path: "/order/1", body: []byte("order"), timeout: budget}, budget); o.Status == http.StatusOK && o.Complete {
					answered.Add(1)
				}
			})
		}
	})
	limit, most, over, samples := d.memoryMb<<10, 0, 0, 0
	for ; time.Now().Before(stop); time.Sleep(100 * time.Millisecond) {
		anonymous, resident := memoryOf(entry.cmd.Process.Pid)
		unread, connections := unreadAt(frontPort)
		sum := anonymous + unread
		d.record.write("memory", map[string]any{"anonymousKB": anonymous, "residentKB": resident, "unreadKB": unread, "connections": connections, "sumKB": sum, "limitKB": limit, "ready": d.ready()})
		samples++
		if sum > limit {
			over++
		}
		most = max(most, sum)
	}
	ordinary.Wait()
	d.record.say("%d connections with bodies opened, %d ended; entry ended: %t", opened.Load(), ended.Load(), entry.ended.Load())
	d.record.say("most memory %d KB (anonymous, and bytes received and not yet read), limit %d KB, over it in %d of %d samples", most, limit, over, samples)
	d.record.say("ordinary callers: %d requests, %d answered within their time budget of %s", sent.Load(), answered.Load(), budget)
	switch {
	case sent.Load() == 0 || trouble && opened.Load() < callers/2:
		return unknown, fmt.Errorf("the callers could not connect")
	case over > 0 || entry.ended.Load() || 4*answered.Load() < sent.Load():
		return broken, nil
	}
	return held, nil
}

// holdBodies sends a body but for its last 4 KiB, keeps the connection open, and begins again if it is closed.
func holdBodies(at string, delay time.Duration, stop time.Time, size int, opened, ended *atomic.Int64) {
	chunk := make([]byte, 32<<10)
	for time.Sleep(delay); time.Now().Before(stop); time.Sleep(100 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", at, time.Second)
		if err != nil {
			continue
		}
		opened.Add(1)
		_ = c.SetDeadline(stop)
		_, err = fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: %s\r\nShallotring-Attempt-Id: %s\r\nShallotring-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", host, newID(), size)
		for left := size - 4<<10; left > 0 && err == nil; left -= len(chunk) {
			_, err = c.Write(chunk[:min(len(chunk), left)])
		}
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		ended.Add(1)
	}
}

// memoryOf returns the anonymous and the resident memory of a process in KB.
func memoryOf(pid int) (anonymous, resident int) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for text := range strings.SplitSeq(string(b), "\n") {
		f := strings.Fields(text)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "RssAnon:":
			anonymous = n
		case "VmRSS:":
			resident = n
		}
	}
	return anonymous, resident
}

// unreadAt returns the KB that connections to a port have received and the process has not read, and the number of these connections.
func unreadAt(port int) (kb, connections int) {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, 0
	}
	defer f.Close()
	const established = "01"
	bytes, suffix := int64(0), fmt.Sprintf(":%04X", port)
	for s := bufio.NewScanner(f); s.Scan(); {
		w := strings.Fields(s.Text())
		if len(w) < 5 || !strings.HasSuffix(w[1], suffix) || w[3] != established {
			continue
		}
		_, queue, _ := strings.Cut(w[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		bytes += n
		connections++
	}
	return int(bytes >> 10), connections
}
