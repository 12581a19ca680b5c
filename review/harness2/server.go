//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// serverOptions describe a stand-in of a server: a plain service, or an engine that holds one model.
type serverOptions struct {
	Address  string
	ID       string
	Model    string
	Unframed bool
	Pieces   int
	Interval time.Duration
	Type     string
	Born     int64
	// Poison is the prompt part on which the engine crashes when it begins to write an answer; empty for none.
	Poison string
	// NeedFile is the path of a file that has the time, in Unix milliseconds, up to which the server wants no requests; while it does not exist, the server takes all.
	NeedFile string
}

func (o serverOptions) args() []string {
	return []string{"server", "-address", o.Address, "-id", o.ID, "-model", o.Model, fmt.Sprintf("-unframed=%t", o.Unframed), "-pieces", fmt.Sprint(o.Pieces),
		"-interval", o.Interval.String(), "-type", o.Type, "-born", fmt.Sprint(o.Born), "-poison", o.Poison, "-need", o.NeedFile}
}

// pieceOf returns the n-th piece of the answer to a request: an event of a stream, or 100 bytes of another body.
func pieceOf(o serverOptions, id string, n int) string {
	if o.Type == "text/event-stream" {
		return fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", n+1, id, n+1, o.Pieces)
	}
	text := fmt.Sprintf("%s %d of %d ", id, n+1, o.Pieces)
	return text + strings.Repeat("-", 99-len(text)) + "\n"
}

// wholeBody returns the whole answer to a request.
func wholeBody(o serverOptions, id string) string {
	var b strings.Builder
	for n := range o.Pieces {
		b.WriteString(pieceOf(o, id, n))
	}
	return b.String()
}

// server is the state of a stand-in that orders change.
type server struct {
	serverOptions
	mu     sync.Mutex
	loaded bool
	seq    int64
	fence  int64
	runs   int
}

// serve runs a stand-in of a server until it is killed.
func serve(args []string) {
	o := serverOptions{}
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	flags.StringVar(&o.Address, "address", "", "")
	flags.StringVar(&o.ID, "id", "", "")
	flags.StringVar(&o.Model, "model", "", "")
	flags.BoolVar(&o.Unframed, "unframed", false, "")
	flags.IntVar(&o.Pieces, "pieces", 8, "")
	flags.DurationVar(&o.Interval, "interval", 10*time.Millisecond, "")
	flags.StringVar(&o.Type, "type", "application/octet-stream", "")
	flags.Int64Var(&o.Born, "born", 0, "")
	flags.StringVar(&o.Poison, "poison", "", "")
	flags.StringVar(&o.NeedFile, "need", "", "")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	s := &server{serverOptions: o}
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

// serveConn serves the requests of one connection.
func (s *server) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.answer(c, r, body) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (s *server) answer(c net.Conn, r *http.Request, body []byte) (open bool) {
	switch r.URL.Path {
	case "/report":
		s.mu.Lock()
		models := []any{}
		if s.loaded {
			models = append(models, map[string]any{"name": s.Model, "version": 1, "adapters": []string{}})
		}
		b, _ := json.Marshal(map[string]any{"stage": "colocated", "models": models, "busy": false, "seq": s.seq, "queueDepth": 0, "inFlight": s.runs, "kvUsed": 0, "kvTotal": 262134,
			"born": s.Born, "pending": []string{}, "runs": []any{}, "state": "ready", "handles": 0})
		s.mu.Unlock()
		return respond(c, http.StatusOK, "Content-Type: application/json\r\n", string(b))
	case "/health":
		return respond(c, http.StatusOK, "Shallotring-Instance: "+s.ID+"\r\n", "")
	case "/order":
		return respond(c, s.order(body), "", "")
	}
	id := r.Header.Get("Shallotring-Attempt-Id")
	if expect := r.Header.Get("Shallotring-Expect-Instance"); expect != "" && expect != s.ID {
		return respond(c, http.StatusMisdirectedRequest, "Shallotring-Attempt-Id: "+id+"\r\n", "")
	}
	if d := s.need(); d > 0 {
		fmt.Println(time.Now().UnixMilli(), "refuses", id)
		// The request has waited in the queue before.
		time.Sleep(queueTime)
		return respond(c, http.StatusServiceUnavailable, fmt.Sprintf("Shallotring-Attempt-Id: %s\r\nShallotring-Not-Executed: busy\r\nRetry-After: %.3f\r\n", id, s.need().Seconds()), "")
	}
	fmt.Println("runs", id)
	poisoned := s.Poison != "" && strings.Contains(r.Header.Get("Shallotring-Prompt-Prefix"), ","+s.Poison+":")
	if poisoned {
		fmt.Println(time.Now().UnixMilli(), "poison", id)
	}
	s.count(1)
	defer s.count(-1)
	head := "HTTP/1.1 200 OK\r\nContent-Type: " + s.Type + "\r\nShallotring-Attempt-Id: " + id + "\r\nShallotring-Server-Seal: " + s.ID + ".0.0\r\n"
	if s.Unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(wholeBody(s.serverOptions, id)))
	}
	for n := range s.Pieces {
		time.Sleep(s.Interval)
		if poisoned {
			fmt.Println("crashes on", id)
			os.Exit(exitFailed)
		}
		if _, err := io.WriteString(c, head+pieceOf(s.serverOptions, id, n)); err != nil {
			return false
		}
		head = ""
	}
	return !s.Unframed
}

func (s *server) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs += n
}

// order loads the model; the stand-in takes no other orders.
func (s *server) order(body []byte) (status int) {
	var o struct {
		Op         string `json:"op"`
		Model      string `json:"model"`
		Adapter    string `json:"adapter"`
		Expected   *int64 `json:"expected"`
		Holder     string `json:"holder"`
		FenceToken int64  `json:"fenceToken"`
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.FenceToken == 0 || o.Op != "model_load" || o.Model != s.Model || o.Adapter != "" {
		return http.StatusBadRequest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.FenceToken < s.fence:
		return http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected != s.seq:
		return http.StatusConflict
	}
	s.fence, s.loaded = o.FenceToken, true
	s.seq++
	return http.StatusAccepted
}

func respond(c net.Conn, status int, header, body string) (open bool) {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	return err == nil
}

// queueTime is the time after which a server in need refuses a request.
const queueTime = 100 * time.Millisecond

// need returns the time for which the server wants no requests.
func (s *server) need() time.Duration {
	if s.NeedFile == "" {
		return 0
	}
	b, err := os.ReadFile(s.NeedFile)
	if err != nil {
		return 0
	}
	var milli int64
	if _, err = fmt.Sscan(string(b), &milli); err != nil {
		return 0
	}
	return time.Until(time.UnixMilli(milli))
}
