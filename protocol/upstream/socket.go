package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT, the time after which unacknowledged data
// closes a connection: a peer behind a network partition never resets it.
func userTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) (err error) {
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		}); e != nil {
			return e
		}
		return err
	}
}

// openWithoutData reports whether an idle connection is open and has no data to read: such data would be taken for the response
// to the next request.
func openWithoutData(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = e == unix.EAGAIN || e == unix.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}
