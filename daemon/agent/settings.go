package agent

import (
	"net/url"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
	"shallotring.dev/transport/settings"
)

// Settings is the content of the agent's settings file.
type Settings struct {
	settings.Identity
	// Endpoint is the name of the Endpoint resource.
	Endpoint ident.Endpoint
	// BaseURL is the base URL of the engine or plain service.
	BaseURL string
	// Listen is the IP:port of the listener for entries.
	Listen string
	// Address is the IP:port under which entries reach the listener; it is Listen if empty.
	Address string
	// Admin is the IP:port of the admin port.
	Admin string
	// KeyValue lists the base URLs of the key-value service.
	KeyValue []string
	// HostList is the URL of the platform's list of live and leaving hosts; empty if the platform has none.
	HostList string
	// AllowInsecure permits listeners off loopback without TLS keys.
	AllowInsecure bool
	TLS           settings.TLS
}

// Check refuses settings that cannot work; the error starts with the key.
func (s *Settings) Check() (err error) {
	if err = s.Identity.Check(); err != nil {
		return err
	}
	if s.Endpoint == "" {
		return eris.New("Endpoint: must be set")
	}
	if err = checkURL("BaseURL", s.BaseURL); err != nil {
		return err
	}
	for _, u := range s.KeyValue {
		if err = checkURL("KeyValue", u); err != nil {
			return err
		}
	}
	if s.HostList != "" {
		if err = checkURL("HostList", s.HostList); err != nil {
			return err
		}
	}
	if err = settings.Address("Listen", s.Listen); err != nil {
		return err
	}
	if s.Address != "" {
		if err = settings.Address("Address", s.Address); err != nil {
			return err
		}
	}
	if err = settings.Address("Admin", s.Admin); err != nil {
		return err
	}
	return eris.Wrap(s.TLS.Check(), "TLS")
}

func checkURL(key, text string) (err error) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return eris.Errorf("%s: %q must be an http or https URL", key, text)
	}
	return nil
}
