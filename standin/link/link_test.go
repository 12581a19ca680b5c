package link

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a link that loses bytes or the end of a connection, and against faults that do not take hold of connections that
// are open.
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
	exchange := func(wait time.Duration) (got string, err error) {
		if err = c.SetDeadline(time.Now().Add(wait)); err != nil {
			return "", err
		}
		if _, err = io.WriteString(c, "piece"); err != nil {
			return "", err
		}
		b := make([]byte, 5)
		_, err = io.ReadFull(c, b)
		return string(b), err
	}
	const short, long = 100 * time.Millisecond, 10 * time.Second
	if got, err := exchange(long); got != "piece" || err != nil {
		t.Fatalf("got %q, %v", got, err)
	}
	for _, f := range []Fault{{HoldTo: true}, {HoldFrom: true}, {Delay: time.Minute}} {
		l.Set(f)
		if got, err := exchange(short); err == nil {
			t.Errorf("%+v passes %q on", f, got)
		}
		if f.Delay > 0 {
			break
		}
		l.Set(Fault{})
		b := make([]byte, 5)
		if err := c.SetDeadline(time.Now().Add(long)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "piece" {
			t.Errorf("after %+v: got %q, %v", f, b, err)
		}
	}
	l.Set(Fault{Cut: true})
	if err := c.SetDeadline(time.Now().Add(long)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("an open connection outlives a cut")
	}
	next, err := net.Dial("tcp", l.listener.Addr().String())
	if err != nil {
		return
	}
	defer next.Close()
	if err := next.SetDeadline(time.Now().Add(long)); err != nil {
		t.Fatal(err)
	}
	if _, err := next.Read(make([]byte, 1)); err == nil {
		t.Error("a new connection is open during a cut")
	}
}
