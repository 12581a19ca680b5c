// Package upstream sends HTTP/1.1 requests to one address over persistent connections. It never retries a request, reports
// whether any byte of a failed request may have reached the server, and does not reuse a connection with unread data.
package upstream
