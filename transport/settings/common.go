package settings

import (
	"net"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// Identity is the part of the settings that every program has.
type Identity struct {
	Host ident.Host
	Zone ident.Zone
}

// Check rejects a missing host or zone.
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
	// CAFile holds the CA certificates by which a listener verifies client certificates, which it then requires, and by which a
	// client verifies the server.
	CAFile string
}

// Enabled reports whether a certificate or key file is set.
func (t TLS) Enabled() bool { return t.CertFile != "" || t.KeyFile != "" }

// Check rejects a certificate without a key, and a key without a certificate.
func (t TLS) Check() (err error) {
	if (t.CertFile == "") != (t.KeyFile == "") {
		return eris.New("CertFile, KeyFile: must be set together")
	}
	return nil
}

// CheckListener rejects files that a listener cannot use.
func (t TLS) CheckListener() (err error) {
	if err = t.Check(); err == nil && t.CAFile != "" && !t.Enabled() {
		return eris.New("CAFile: needs CertFile and KeyFile")
	}
	return err
}

// CheckMutual rejects files by which the processes of a deployment cannot verify each other.
func (t TLS) CheckMutual() (err error) {
	if err = t.CheckListener(); err == nil && t.Enabled() && t.CAFile == "" {
		return eris.New("CAFile: must be set with CertFile, because peers verify each other by it")
	}
	return err
}

// CheckAddress checks that an address has the form IP:port.
func CheckAddress(key, address string) (err error) {
	if address == "" {
		return eris.Errorf("%s: must be set", key)
	}
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

// CheckAdvertisedAddress checks an address that other processes connect to: it must name a single host and a port other than 0.
func CheckAdvertisedAddress(key, address string) (err error) {
	if err = CheckAddress(key, address); err != nil {
		return err
	}
	host, port, _ := net.SplitHostPort(address)
	if n, _ := strconv.Atoi(port); n == 0 || net.ParseIP(host).IsUnspecified() {
		return eris.Errorf("%s: %q is not an address that other processes can connect to", key, address)
	}
	return nil
}

// Listener is the address of a listener with its TLS files; Key is the settings key of the address.
type Listener struct {
	Key     string
	Address string
	TLS     TLS
}

// CheckListeners rejects two listeners with the same address, and a listener off loopback without TLS unless allowInsecure is set.
func CheckListeners(allowInsecure bool, list ...Listener) (err error) {
	for i, l := range list {
		if err = CheckAddress(l.Key, l.Address); err != nil {
			return err
		}
		if !allowInsecure && !l.TLS.Enabled() && !IsLoopback(l.Address) {
			return eris.Errorf("%s: %q is not on loopback and has no TLS keys; set CertFile and KeyFile, or AllowInsecure = true", l.Key, l.Address)
		}
		for _, other := range list[:i] {
			if l.Address == other.Address && !anyPort(l.Address) {
				return eris.Errorf("%s: %q is the address of %s", l.Key, l.Address, other.Key)
			}
		}
	}
	return nil
}

func anyPort(address string) bool {
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	return n == 0
}

// IsLoopback reports whether an IP:port can be reached only from its own machine.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// CheckURL checks that a base URL has a host and the scheme http or https.
func CheckURL(key, text string) (err error) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return eris.Errorf("%s: %q must be an http or https URL", key, text)
	}
	return nil
}
