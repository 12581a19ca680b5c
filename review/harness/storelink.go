//go:build review

package main

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// storeLink is a proxy between one process and the store. It can silence single connections and cut all of them.
type storeLink struct {
	address, target string
	listener        net.Listener
	mu              sync.Mutex
	conns           map[*linkConn]bool
	isCut           bool
}

// linkConn is one connection of a storeLink.
type linkConn struct {
	client, store *net.TCPConn
	link          *storeLink
	// request is the target of the last call, sentAt its time, and waiting is set until the store responds to it.
	request string
	sentAt  time.Time
	waiting bool
	silent  bool
}

func newStoreLink(address, target string) (l *storeLink, err error) {
	l = &storeLink{address: address, target: target, conns: make(map[*linkConn]bool)}
	if l.listener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	go l.accept()
	return l, nil
}

func (l *storeLink) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		client, ok := c.(*net.TCPConn)
		if !ok {
			continue
		}
		l.mu.Lock()
		isCut := l.isCut
		l.mu.Unlock()
		s, err := net.Dial("tcp", l.target)
		if err != nil {
			reset(client)
			continue
		}
		store, _ := s.(*net.TCPConn)
		x := &linkConn{client: client, store: store, link: l, silent: isCut}
		l.mu.Lock()
		l.conns[x] = true
		l.mu.Unlock()
		go x.forward(client, store, true)
		go x.forward(store, client, false)
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// forward copies the bytes of one direction; a silent connection loses them and stays open.
func (x *linkConn) forward(from, to *net.TCPConn, calls bool) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		x.link.mu.Lock()
		silent := x.silent
		if n > 0 && !silent {
			if calls {
				if line, _, ok := bytes.Cut(b[:n], []byte("\r\n")); ok && bytes.HasSuffix(line, []byte(" HTTP/1.1")) {
					x.request, x.sentAt, x.waiting = string(line), time.Now(), true
				}
			} else {
				x.waiting = false
			}
		}
		x.link.mu.Unlock()
		if n > 0 && !silent {
			if _, e := to.Write(b[:n]); e != nil {
				err = e
			}
		}
		if err == nil {
			continue
		}
		if silent && from == x.store {
			return
		}
		if err == io.EOF {
			_ = to.CloseWrite()
		} else {
			reset(to)
		}
		if calls {
			x.link.mu.Lock()
			delete(x.link.conns, x)
			x.link.mu.Unlock()
		}
		return
	}
}

// silenceWatch silences the connection on which a watch of a prefix has waited for at least some time; ok is false if there is none.
func (l *storeLink) silenceWatch(prefix string, least, most time.Duration) (open int, waited time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for x := range l.conns {
		waited = time.Since(x.sentAt)
		if x.waiting && strings.Contains(x.request, "/kv-watch?") && strings.Contains(x.request, "prefix="+prefix) && waited >= least && waited <= most {
			x.silent = true
			return len(l.conns), waited, true
		}
	}
	return 0, 0, false
}

// cut silences all connections and each new one, or ends that: connections that were cut stay silent.
func (l *storeLink) cut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = on
	if !on {
		return
	}
	for x := range l.conns {
		x.silent = true
	}
}

func (l *storeLink) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for x := range l.conns {
		reset(x.client)
		reset(x.store)
	}
}
