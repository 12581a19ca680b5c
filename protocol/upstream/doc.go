// Package upstream sends HTTP/1.1 requests to one address over kept connections. It never repeats a request, reports whether
// any byte of a failed request may have arrived, and does not reuse a connection on which unexpected bytes lie.
package upstream
