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

// handshakeTimeout limits the TLS handshake of a connection that DialTLS opens.
const handshakeTimeout = 2 * time.Second

// reloadedFiles is a value that is loaded from files and loaded again when one of them changes, so that keys are replaced without
// a restart.
type reloadedFiles[T any] struct {
	files []string
	load  func() (T, error)
	// warn is called once for each version of the files that cannot be loaded.
	warn func(err error)

	mu    sync.Mutex
	value T
	// modTimes are the modification times of the files in use, failedModTimes those of the last files that could not be used.
	modTimes       []time.Time
	failedModTimes []time.Time
}

// get returns the value of the current files, or the last good value while the files cannot be loaded.
func (r *reloadedFiles[T]) get() (value T, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	modified, err := modificationTimes(r.files)
	if err == nil && !slices.EqualFunc(modified, r.modTimes, time.Time.Equal) {
		var fresh T
		if fresh, err = r.load(); err == nil {
			r.value, r.modTimes = fresh, modified
		}
	}
	if err != nil && r.modTimes == nil {
		return value, err
	}
	if err != nil && r.warn != nil && (r.failedModTimes == nil || !slices.EqualFunc(modified, r.failedModTimes, time.Time.Equal)) {
		r.failedModTimes = append([]time.Time{}, modified...)
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

func newKeyPair(files settings.TLS) (r *reloadedFiles[*tls.Certificate], err error) {
	r = &reloadedFiles[*tls.Certificate]{files: []string{files.CertFile, files.KeyFile}, load: func() (*tls.Certificate, error) {
		pair, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
		return &pair, err
	}}
	_, err = r.get()
	return r, eris.Wrap(err, "load TLS key pair")
}

func newCertPool(file string) (r *reloadedFiles[*x509.CertPool], err error) {
	r = &reloadedFiles[*x509.CertPool]{files: []string{file}, load: func() (*x509.CertPool, error) { return readCA(file) }}
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
		log.Warn("changed TLS files cannot be used; continuing with the previous keys", slog.String("Error", err.Error()))
	}
	pair.warn = warn
	c = &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.get() },
	}
	if files.CAFile == "" {
		return c, nil
	}
	pool, err := newCertPool(files.CAFile)
	if err != nil {
		return nil, err
	}
	pool.warn = warn
	c.ClientAuth = tls.RequireAndVerifyClientCert
	// A resumed session would skip the verification of the client's certificate by the current CA.
	c.SessionTicketsDisabled = true
	base := c.Clone()
	c.GetConfigForClient = func(*tls.ClientHelloInfo) (current *tls.Config, err error) {
		current = base.Clone()
		current.ClientCAs, err = pool.get()
		return current, err
	}
	return c, nil
}

// Dial is the type of functions that open a connection, such as net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (c net.Conn, err error)

// DialTLS returns a function that opens TLS connections, for http.Transport.DialTLSContext. The client presents its certificate
// if one is named, and verifies the server by the CA file or, without one, by the CA certificates of the system.
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
		pool, err := newCertPool(files.CAFile)
		if err != nil {
			return nil, err
		}
		roots = pool.get
	}
	return func(ctx context.Context, network, address string) (c net.Conn, err error) {
		connConfig := config.Clone()
		if connConfig.ServerName, _, err = net.SplitHostPort(address); err != nil {
			return nil, err
		}
		if connConfig.RootCAs, err = roots(); err != nil {
			return nil, err
		}
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		conn := tls.Client(plain, connConfig)
		if err = conn.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, err
		}
		return conn, nil
	}, nil
}
