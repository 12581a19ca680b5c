package server

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/transport/settings"
)

// keyPair reads a certificate again when its files change, so that keys are replaced without a restart.
type keyPair struct {
	files settings.TLS

	mu       sync.Mutex
	loaded   *tls.Certificate
	modified time.Time
}

func (k *keyPair) certificate() (cert *tls.Certificate, err error) {
	defer func() { err = eris.Wrap(err, "load TLS key pair") }()
	k.mu.Lock()
	defer k.mu.Unlock()
	info, err := os.Stat(k.files.CertFile)
	if err != nil {
		return k.previous(err)
	}
	if k.loaded != nil && info.ModTime().Equal(k.modified) {
		return k.loaded, nil
	}
	pair, err := tls.LoadX509KeyPair(k.files.CertFile, k.files.KeyFile)
	if err != nil {
		return k.previous(err)
	}
	k.loaded, k.modified = &pair, info.ModTime()
	return k.loaded, nil
}

// previous keeps the last good pair in use while the files are being replaced.
func (k *keyPair) previous(err error) (cert *tls.Certificate, _ error) {
	if k.loaded != nil {
		return k.loaded, nil
	}
	return nil, err
}

// ListenerTLS returns the TLS configuration of a listener.
func ListenerTLS(files settings.TLS) (c *tls.Config, err error) {
	k := &keyPair{files: files}
	if _, err = k.certificate(); err != nil {
		return nil, err
	}
	c = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.certificate()
		},
	}
	if files.CAFile == "" {
		return c, nil
	}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.ClientCAs, err = readCA(files.CAFile)
	return c, err
}

// ClientTLS returns the TLS configuration of a client of the project's own processes.
func ClientTLS(files settings.TLS) (c *tls.Config, err error) {
	k := &keyPair{files: files}
	if _, err = k.certificate(); err != nil {
		return nil, err
	}
	c = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.certificate()
		},
	}
	if files.CAFile != "" {
		c.RootCAs, err = readCA(files.CAFile)
	}
	return c, err
}

func readCA(file string) (pool *x509.CertPool, err error) {
	defer func() { err = eris.Wrap(err, "load CA certificates") }()
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
