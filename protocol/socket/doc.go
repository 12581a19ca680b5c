// Package socket knows of a TCP connection whether it ended after its peer had received everything.
package socket
