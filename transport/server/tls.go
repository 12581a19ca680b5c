package server

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/transport/settings"
)

// handshakeTimeout bounds the TLS handshake of a client.
const handshakeTimeout = 2 * time.Second

// reloaded is a value that is read again when one of its files changes, so that keys are replaced without a restart.
type reloaded[T any] struct {
	files []string
	load  func() (T, error)
	// warn is told once of each change of the files that cannot be used.
	warn func(err error)

	mu       sync.Mutex
	value    T
	modified []time.Time
	refused  []time.Time
}

// get returns the value; the last good one stays in use while the files are being replaced.
func (r *reloaded[T]) get() (value T, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	modified, err := modificationTimes(r.files)
	if err == nil && !slices.EqualFunc(modified, r.modified, time.Time.Equal) {
		var fresh T
		if fresh, err = r.load(); err == nil {
			r.value, r.modified = fresh, modified
		}
	}
	if err != nil && r.modified == nil {
		return value, err
	}
	if err != nil && r.warn != nil && (r.refused == nil || !slices.EqualFunc(modified, r.refused, time.Time.Equal)) {
		r.refused = append([]time.Time{}, modified...)
		r.warn(err)
	}
	return r.value, nil
}

func modificationTimes(files []string) (list []time.Time, err error) {
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			return nil, err
		}
		list = append(list, info.ModTime())
	}
	return list, nil
}

func newKeyPair(files settings.TLS) (r *reloaded[*tls.Certificate], err error) {
	r = &reloaded[*tls.Certificate]{files: []string{files.CertFile, files.KeyFile}, load: func() (*tls.Certificate, error) {
		pair, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
		return &pair, err
	}}
	_, err = r.get()
	return r, eris.Wrap(err, "load TLS key pair")
}

func newPool(file string) (r *reloaded[*x509.CertPool], err error) {
	r = &reloaded[*x509.CertPool]{files: []string{file}, load: func() (*x509.CertPool, error) { return readCA(file) }}
	_, err = r.get()
	return r, eris.Wrap(err, "load CA certificates")
}

func readCA(file string) (pool *x509.CertPool, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool = x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, eris.Errorf("%s: no certificate found", file)
	}
	return pool, nil
}

// ListenerTLS returns the TLS configuration of a listener.
func ListenerTLS(files settings.TLS, log *slog.Logger) (c *tls.Config, err error) {
	pair, err := newKeyPair(files)
	if err != nil {
		return nil, err
	}
	warn := func(err error) {
		log.Warn("changed TLS files cannot be used, the former keys stay in use", slog.String("Error", err.Error()))
	}
	pair.warn = warn
	c = &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.get() },
	}
	if files.CAFile == "" {
		return c, nil
	}
	pool, err := newPool(files.CAFile)
	if err != nil {
		return nil, err
	}
	pool.warn = warn
	c.ClientAuth = tls.RequireAndVerifyClientCert
	// A resumed session would not show the client's certificate to the present CA.
	c.SessionTicketsDisabled = true
	base := c.Clone()
	c.GetConfigForClient = func(*tls.ClientHelloInfo) (now *tls.Config, err error) {
		now = base.Clone()
		now.ClientCAs, err = pool.get()
		return now, err
	}
	return c, nil
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (c net.Conn, err error)

// DialTLS returns the function that opens the TLS connections of a client of the project, for http.Transport.DialTLSContext.
// The client presents its certificate if one is named, and verifies the server by the CA file or else by those of the system.
func DialTLS(files settings.TLS, dial Dial) (secure Dial, err error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if files.Enabled() {
		pair, err := newKeyPair(files)
		if err != nil {
			return nil, err
		}
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.get() }
	}
	roots := func() (*x509.CertPool, error) { return nil, nil }
	if files.CAFile != "" {
		pool, err := newPool(files.CAFile)
		if err != nil {
			return nil, err
		}
		roots = pool.get
	}
	return func(ctx context.Context, network, address string) (c net.Conn, err error) {
		own := config.Clone()
		if own.ServerName, _, err = net.SplitHostPort(address); err != nil {
			return nil, err
		}
		if own.RootCAs, err = roots(); err != nil {
			return nil, err
		}
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		s := tls.Client(plain, own)
		if err = s.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, err
		}
		return s, nil
	}, nil
}
