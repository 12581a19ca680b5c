package agent

import (
	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
	"shallotring.dev/transport/server"
	"shallotring.dev/transport/settings"
)

// Settings are the local settings of an agent process.
type Settings struct {
	settings.Identity
	// Endpoint is the name of the Endpoint resource.
	Endpoint ident.Endpoint
	// BaseURL is the base URL of the engine or plain service.
	BaseURL string
	// PeerAddress is the IP:port of the listener for entries.
	PeerAddress string
	// PeerAdvertise is the IP:port at which entries reach the listener; if it is empty, they use the address of the listener.
	PeerAdvertise string
	// AdminAddress is the IP:port of the admin port.
	AdminAddress string
	// BodyBytesTotal limits the total size of the request bodies of all tries.
	BodyBytesTotal int64
	// Connections limits the open connections of the listener for entries.
	Connections int
	// HostList is the URL of the platform's list of live and leaving hosts; empty if the platform has none.
	HostList string
	// AllowInsecure permits listeners without TLS keys on addresses other than loopback.
	AllowInsecure bool
	// PeerTLS has the TLS keys of the listener for entries, AdminTLS those of the admin port.
	PeerTLS  settings.TLS
	AdminTLS settings.TLS
}

// DefaultSettings returns the values of the settings that a settings file may omit.
func DefaultSettings() Settings {
	return Settings{BodyBytesTotal: 256 << 20, Connections: server.DefaultLimits().Connections}
}

// Check returns an error for values that an agent cannot run with; the error starts with the key.
func (s *Settings) Check() (err error) {
	if err = s.Identity.Check(); err != nil {
		return err
	}
	if s.Endpoint == "" {
		return eris.New("Endpoint: must be set")
	}
	if err = settings.CheckURL("BaseURL", s.BaseURL); err != nil {
		return err
	}
	if err = eris.Wrap(s.PeerTLS.CheckMutual(), "PeerTLS"); err != nil {
		return err
	}
	if err = eris.Wrap(s.AdminTLS.CheckListener(), "AdminTLS"); err != nil {
		return err
	}
	for _, r := range []settings.Range[int64]{
		{Key: "BodyBytesTotal", Value: s.BodyBytesTotal, Min: server.PeerBodyBytes, Max: 1 << 40},
		{Key: "Connections", Value: int64(s.Connections), Min: 1, Max: 1 << 20},
	} {
		if err = r.Check(); err != nil {
			return err
		}
	}
	if s.HostList != "" {
		if err = settings.CheckURL("HostList", s.HostList); err != nil {
			return err
		}
	}
	if s.PeerAdvertise != "" {
		if err = settings.CheckAdvertisedAddress("PeerAdvertise", s.PeerAdvertise); err != nil {
			return err
		}
	}
	return settings.CheckListeners(s.AllowInsecure,
		settings.Listener{Key: "PeerAddress", Address: s.PeerAddress, TLS: s.PeerTLS},
		settings.Listener{Key: "AdminAddress", Address: s.AdminAddress, TLS: s.AdminTLS})
}
