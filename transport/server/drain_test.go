package server

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func startDrainableServer(t *testing.T, h http.Handler) (d *Drainer, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d = NewDrainer(l)
	s := &http.Server{Handler: h, ConnState: d.State}
	go s.Serve(d)
	t.Cleanup(func() { s.Close() })
	return d, l.Addr().String()
}

func readResponse(t *testing.T, r *bufio.Reader) (status int) {
	t.Helper()
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	if _, err = io.Copy(io.Discard, a.Body); err != nil {
		t.Fatalf("read body: %v", err)
	}
	return a.StatusCode
}

// TestCloseIdleKeepsPartialRequest guards against closing a keep-alive connection on which a request has arrived in part:
// http.Server counts the connection as idle until it has read the whole header.
func TestCloseIdleKeepsPartialRequest(t *testing.T) {
	d, address := startDrainableServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
	readResponse(t, r)
	io.WriteString(c, "GET /2 HTTP/1.1\r\n")
	for busy := false; !busy; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		for _, x := range d.conns {
			busy = busy || x.busy
		}
		d.mu.Unlock()
	}
	d.CloseIdle()
	io.WriteString(c, "Host: x\r\n\r\n")
	if status := readResponse(t, r); status != http.StatusOK {
		t.Errorf("status = %d, want 200", status)
	}
	if busy := d.Wait(time.Now().Add(5 * time.Second)); busy != 0 {
		t.Errorf("%d requests in progress after the response, want 0", busy)
	}
	if _, err = r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the response: %v, want the connection closed", err)
	}
}

// TestCloseIdleDropsLateRequest guards against running a request that arrives while its connection is being closed and whose
// client therefore gets no response.
func TestCloseIdleDropsLateRequest(t *testing.T) {
	ran := make(chan bool, 2)
	d, address := startDrainableServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran <- true }))
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
	readResponse(t, bufio.NewReader(c))
	<-ran
	for idle := false; !idle; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		for _, x := range d.conns {
			idle = !x.busy
		}
		d.mu.Unlock()
	}
	d.CloseIdle()
	io.WriteString(c, "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case <-ran:
		t.Error("a request ran on a closed connection")
	case <-time.After(100 * time.Millisecond):
	}
}
