package servertest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"shallotring.dev/transport/settings"
)

const certificateValidity = time.Hour

// Authority is a CA that stores its files in a temporary directory of the test.
type Authority struct {
	t    testing.TB
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	// File is the PEM file of the CA.
	File string
	// serial counts the certificates that Keys has signed.
	serial int64
}

// NewAuthority creates a CA in a temporary directory.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{t: t, dir: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-certificateValidity), NotAfter: time.Now().Add(certificateValidity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der := a.sign(template, template, &a.key.PublicKey)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, a.File = cert, filepath.Join(a.dir, "ca.pem")
	a.write(a.File, "CERTIFICATE", der)
	return a
}

// Keys writes a certificate and key for loopback addresses to files with the given name and returns these files with that of the
// CA. It replaces files of the same name.
func (a *Authority) Keys(name string) settings.TLS {
	a.t.Helper()
	a.serial++
	key := a.newKey()
	der := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(a.serial + 1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-certificateValidity), NotAfter: time.Now().Add(certificateValidity),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback},
		KeyUsage:    x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey)
	text, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := settings.TLS{CertFile: filepath.Join(a.dir, name+".crt"), KeyFile: filepath.Join(a.dir, name+".key"), CAFile: a.File}
	a.write(files.CertFile, "CERTIFICATE", der)
	a.write(files.KeyFile, "EC PRIVATE KEY", text)
	return files
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *Authority) sign(template, parent *x509.Certificate, public *ecdsa.PublicKey) (der []byte) {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der
}

// write writes a PEM file. It gives a replaced file a later modification time, however coarse the clock of the file system is,
// because servers reload a file only when that time changes.
func (a *Authority) write(file, kind string, der []byte) {
	a.t.Helper()
	before, statErr := os.Stat(file)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	if statErr != nil {
		return
	}
	later := before.ModTime().Add(time.Second)
	if err := os.Chtimes(file, later, later); err != nil {
		a.t.Fatal(err)
	}
}

// CopyFile replaces a file by the content of another and sets its modification time to now plus modTimeOffset, so that it differs
// from that of earlier copies.
func CopyFile(t testing.TB, from, to string, modTimeOffset time.Duration) {
	t.Helper()
	text, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	if err = os.WriteFile(to, text, 0o600); err != nil {
		t.Fatal(err)
	}
	at := time.Now().Add(modTimeOffset)
	if err = os.Chtimes(to, at, at); err != nil {
		t.Fatal(err)
	}
}
