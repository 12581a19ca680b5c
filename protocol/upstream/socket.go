package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout sets the time after which unacknowledged data breaks a connection: a peer behind a cut never resets it.
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

// quiet reports whether an idle connection is open and holds no bytes: bytes that nobody asked for belong to no request.
func quiet(conn net.Conn) bool {
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
