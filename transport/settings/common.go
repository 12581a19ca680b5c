package settings

import (
	"net"
	"strconv"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// Identity is the part of the settings that every program has.
type Identity struct {
	Host ident.Host
	Zone ident.Zone
}

// Check refuses missing names.
func (i Identity) Check() (err error) {
	if i.Host == "" {
		return eris.New("Host: must be set")
	}
	if i.Zone == "" {
		return eris.New("Zone: must be set")
	}
	return nil
}

// TLS names the key files of a listener or client; all are PEM files and are read again when they change.
type TLS struct {
	CertFile string
	KeyFile  string
	// CAFile makes a listener ask for and verify client certificates, and a client verify the server by it.
	CAFile string
}

// Enabled reports whether keys are named.
func (t TLS) Enabled() bool { return t.CertFile != "" || t.KeyFile != "" }

// Check refuses a certificate without a key and the reverse.
func (t TLS) Check() (err error) {
	if (t.CertFile == "") != (t.KeyFile == "") {
		return eris.New("CertFile, KeyFile: must be set together")
	}
	return nil
}

// Address checks that an address is an IP number and a port.
func Address(key, address string) (err error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return eris.Errorf("%s: %q must have the form IP:port", key, address)
	}
	if net.ParseIP(host) == nil {
		return eris.Errorf("%s: %q is not an IP number", key, host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return eris.Errorf("%s: port %q must be between 0 and 65535", key, port)
	}
	return nil
}
