package socket

import (
	"context"
	"net"
)

// Dial returns a function that opens connections with dial and returns each as a Conn.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		conn, err = dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
}
