package link

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a link that loses bytes or hides that a connection was closed, and against faults that have no effect on open
// connections.
func TestLink(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	l, err := New("127.0.0.1:0", echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	exchange := func(timeout time.Duration) (got string, err error) {
		if err = c.SetDeadline(time.Now().Add(timeout)); err != nil {
			return "", err
		}
		if _, err = io.WriteString(c, "piece"); err != nil {
			return "", err
		}
		b := make([]byte, 5)
		_, err = io.ReadFull(c, b)
		return string(b), err
	}
	const shortTimeout, longTimeout = 100 * time.Millisecond, 10 * time.Second
	if got, err := exchange(longTimeout); got != "piece" || err != nil {
		t.Fatalf("got %q, %v", got, err)
	}
	for _, f := range []Fault{{HoldTo: true}, {HoldFrom: true}, {Delay: time.Minute}} {
		l.Set(f)
		if got, err := exchange(shortTimeout); err == nil {
			t.Errorf("%+v: the link forwarded %q", f, got)
		}
		if f.Delay > 0 {
			// The text stays delayed for a minute, so this fault is the last one on the connection.
			break
		}
		l.Set(Fault{})
		b := make([]byte, 5)
		if err := c.SetDeadline(time.Now().Add(longTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "piece" {
			t.Errorf("after the fault %+v ended: got %q, %v", f, b, err)
		}
	}
	l.Set(Fault{Cut: true})
	if err := c.SetDeadline(time.Now().Add(longTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("an open connection was not reset by Cut")
	}
	next, err := net.Dial("tcp", l.listener.Addr().String())
	if err != nil {
		return
	}
	defer next.Close()
	if err := next.SetDeadline(time.Now().Add(longTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := next.Read(make([]byte, 1)); err == nil {
		t.Error("a new connection was not reset while the link is cut")
	}
}

// TestRefuse guards against a link that accepts connections for a process that has ended, or that refuses them after its next start.
func TestRefuse(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	l, err := New("127.0.0.1:0", target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, refuse := range []bool{true, true, false, false, true} {
		if err := l.Refuse(refuse); err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", l.address)
		if err == nil {
			c.Close()
		}
		if (err != nil) != refuse {
			t.Errorf("a connection to a link that refuses %t: %v", refuse, err)
		}
	}
}
