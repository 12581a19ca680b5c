package server

import (
	"errors"
	"net"
	"net/http"
)

// ResetAborted is to be deferred by a handler; it resets the connection of an HTTP/1.0 client if the handler panics with
// http.ErrAbortHandler.
//
// The end of the connection is the end of a response over HTTP/1.0, so an orderly end would make an aborted response look complete.
func ResetAborted(w http.ResponseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) && !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(v)
}

// reset closes the connection of a response with a reset; if that is not possible, net/http closes it.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for c := conn; c != nil; {
		switch x := c.(type) {
		case *net.TCPConn:
			_ = x.SetLinger(0)
			_ = x.Close()
			return
		case interface{ NetConn() net.Conn }:
			c = x.NetConn()
		default:
			return
		}
	}
}
