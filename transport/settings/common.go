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

// CheckListener refuses keys that a listener cannot use.
func (t TLS) CheckListener() (err error) {
	if err = t.Check(); err == nil && t.CAFile != "" && !t.Enabled() {
		return eris.New("CAFile: needs CertFile and KeyFile")
	}
	return err
}

// CheckMutual refuses keys by which the processes of a deployment cannot verify each other.
func (t TLS) CheckMutual() (err error) {
	if err = t.CheckListener(); err == nil && t.Enabled() && t.CAFile == "" {
		return eris.New("CAFile: must be set with CertFile, because peers verify each other by it")
	}
	return err
}

// Address checks that an address is an IP number and a port.
func Address(key, address string) (err error) {
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

// Advertised checks an address that other processes connect to: it has a port and names one host.
func Advertised(key, address string) (err error) {
	if err = Address(key, address); err != nil {
		return err
	}
	host, port, _ := net.SplitHostPort(address)
	if n, _ := strconv.Atoi(port); n == 0 || net.ParseIP(host).IsUnspecified() {
		return eris.Errorf("%s: %q is no address that others can connect to", key, address)
	}
	return nil
}

// Listener is the address of a listener with the keys that it serves TLS with.
type Listener struct {
	Key     string
	Address string
	TLS     TLS
}

// CheckListeners refuses listeners off loopback without keys, unless insecure ones are allowed, and two with one address.
func CheckListeners(allowInsecure bool, list ...Listener) (err error) {
	for i, l := range list {
		if err = Address(l.Key, l.Address); err != nil {
			return err
		}
		if !allowInsecure && !l.TLS.Enabled() && !IsLoopback(l.Address) {
			return eris.Errorf("%s: %q is not on loopback and has no TLS keys; name them or set AllowInsecure", l.Key, l.Address)
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

// IsLoopback reports whether an IP:port is reached from its own machine only.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// URL checks a base URL.
func URL(key, text string) (err error) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return eris.Errorf("%s: %q must be an http or https URL", key, text)
	}
	return nil
}
