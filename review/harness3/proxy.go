//go:build review

package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// proxy is the path to one address. It can hold back the bytes of one caller, as a network that has lost the path between two machines does: nothing is
// answered and nothing is reset, and what was held back arrives after the path is back unless its sender has given up.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	cut     []byte // the caller whose bytes are held back names itself so in its first message; nil for none
	changed chan struct{}
	conns   map[net.Conn]bool
}

func newProxy(listen, target string) (p *proxy, err error) {
	p = &proxy{target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	if p.listener, err = net.Listen("tcp", listen); err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := p.listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// setCut holds back the bytes of the caller with a name from now on, of none if it is empty.
func (p *proxy) setCut(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut = nil; name != "" {
		p.cut = []byte(name)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// wait returns once the bytes of a caller may pass.
func (p *proxy) wait(hello []byte) {
	for {
		p.mu.Lock()
		held, changed := p.cut != nil && bytes.Contains(hello, p.cut), p.changed
		p.mu.Unlock()
		if !held {
			return
		}
		<-changed
	}
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	hello := make([]byte, 16<<10)
	n, err := c.Read(hello)
	if err != nil {
		return
	}
	hello = hello[:n]
	p.wait(hello)
	s, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer s.Close()
	if _, err = s.Write(hello); err != nil {
		return
	}
	go func() {
		defer c.Close()
		p.copy(c, s, hello)
	}()
	p.copy(s, c, hello)
}

func (p *proxy) copy(to, from net.Conn, hello []byte) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.wait(hello)
		if n > 0 {
			if _, e := to.Write(b[:n]); e != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setCut("")
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}
