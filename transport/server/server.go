package server

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/transport/guard"
	"shallotring.dev/transport/settings"
)

// Limits restrict the memory, time and connections that a peer can take from a listener.
type Limits struct {
	// HeaderBytes limits the request header; a larger one gets the response 431.
	HeaderBytes int
	// BodyBytes limits the request body; reading beyond it fails with http.MaxBytesError.
	BodyBytes int64
	// HeaderTimeout limits the time to receive the header.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time to receive header and body together.
	BodyTimeout time.Duration
	// WriteTimeout limits the time to write the response, unless the handler sets a deadline for each write.
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	// Connections limits the open connections. At the limit an idle one is closed for a new one; without an idle one, new
	// ones wait in the accept queue of the kernel.
	Connections int
}

// DefaultLimits returns the limits of a listener without the option WithLimits.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:   32 << 10,
		BodyBytes:     4 << 20,
		HeaderTimeout: 5 * time.Second,
		BodyTimeout:   30 * time.Second,
		IdleTimeout:   2 * time.Minute,
		Connections:   10_000,
	}
}

// PeerBodyBytes limits the bodies of calls between the processes of a deployment.
const PeerBodyBytes = 8 << 20

// PeerLimits returns the limits of the listeners for calls between the processes of a deployment.
func PeerLimits() Limits {
	l := DefaultLimits()
	l.BodyBytes = PeerBodyBytes
	l.WriteTimeout = 30 * time.Second
	return l
}

// AdminLimits returns the limits of admin listeners.
func AdminLimits() Limits {
	return Limits{
		HeaderBytes:   8 << 10,
		BodyBytes:     4 << 10,
		HeaderTimeout: 5 * time.Second,
		BodyTimeout:   5 * time.Second,
		WriteTimeout:  10 * time.Second,
		IdleTimeout:   time.Minute,
		Connections:   64,
	}
}

// Server is one HTTP listener.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Option configures a new Server.
type Option func(*config)

type config struct {
	limits        Limits
	tls           settings.TLS
	allowInsecure bool
	log           *slog.Logger
	guard         *guard.Guard
}

// WithLimits replaces the default limits.
func WithLimits(l Limits) Option { return func(c *config) { c.limits = l } }

// WithTLS serves TLS with the named files; client certificates are required if a CA file is named.
func WithTLS(t settings.TLS) Option { return func(c *config) { c.tls = t } }

// AllowInsecure permits a listener off loopback without TLS.
func AllowInsecure(allow bool) Option { return func(c *config) { c.allowInsecure = allow } }

// WithLog sets the log of failed handshakes and other connection errors.
func WithLog(l *slog.Logger) Option { return func(c *config) { c.log = l } }

// WithGuard makes a guard count the connections and what is held for them; it also limits their number.
func WithGuard(g *guard.Guard) Option { return func(c *config) { c.guard = g } }

// Listen opens a listener on the address. Without TLS, an address off loopback is refused unless AllowInsecure permits it.
func Listen(address string, handler http.Handler, options ...Option) (s *Server, err error) {
	defer func() { err = eris.Wrapf(err, "listen on %s", address) }()
	c := config{limits: DefaultLimits(), log: slog.Default()}
	for _, o := range options {
		o(&c)
	}
	if !c.tls.Enabled() && !c.allowInsecure && !settings.IsLoopback(address) {
		return nil, eris.New("address is not on loopback and no TLS keys are set; set CertFile and KeyFile, or AllowInsecure = true")
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h := newHTTPServer(handler, c.limits)
	h.ErrorLog = slog.NewLogLogger(c.log.Handler(), slog.LevelWarn)
	if c.guard != nil {
		l = c.guard.Listener(l)
		c.guard.Attach(h)
	} else if c.limits.Connections > 0 {
		limiter := newConnectionLimiter(c.limits.Connections)
		l, h.ConnState = &limitedListener{Listener: l, limiter: limiter}, limiter.connState
	}
	if c.tls.Enabled() {
		tlsConfig, err := ListenerTLS(c.tls, c.log)
		if err != nil {
			return nil, errors.Join(err, l.Close())
		}
		l = tls.NewListener(l, tlsConfig)
	}
	return &Server{listener: l, http: h}, nil
}

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve() (err error) {
	err = s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve HTTP requests")
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Shutdown stops accepting and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	return eris.Wrap(s.http.Shutdown(ctx), "shut down HTTP server")
}

// Close closes the listener and all connections at once.
func (s *Server) Close() (err error) { return eris.Wrap(s.http.Close(), "close HTTP server") }

func newHTTPServer(handler http.Handler, l Limits) *http.Server {
	limited := http.MaxBytesHandler(handler, l.BodyBytes)
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer ResetAborted(w, r)
			limited.ServeHTTP(w, r)
		}),
		MaxHeaderBytes:    l.HeaderBytes,
		ReadHeaderTimeout: l.HeaderTimeout,
		ReadTimeout:       l.BodyTimeout,
		WriteTimeout:      l.WriteTimeout,
		IdleTimeout:       l.IdleTimeout,
	}
}
