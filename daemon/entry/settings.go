package entry

import (
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/transport/server"
	"shallotring.dev/transport/settings"
)

// Settings are the local settings of an entry process.
type Settings struct {
	settings.Identity
	// Address is the IP:port of the callers' listener, AdminAddress of the admin port.
	Address      string
	AdminAddress string
	// PeerAddress is the IP:port of the listener for other processes of the deployment; empty for none.
	PeerAddress string
	// TLS holds the keys of the callers' listener, PeerTLS those towards agents and other entries.
	TLS     settings.TLS
	PeerTLS settings.TLS
	// AllowInsecure permits listeners off loopback without TLS.
	AllowInsecure bool
	// AllowAnonymous serves callers without a token.
	AllowAnonymous bool

	HeaderBytes int
	BodyBytes   int64
	// BodyBytesTotal bounds the memory of all request bodies together.
	BodyBytesTotal int64
	Connections    int
	// InProgress bounds the requests in progress.
	InProgress int
	// HoldBytes is the size up to which a plain response is held back until it is verified as a whole.
	HoldBytes int
	MaxTries  int
	// Records is the number of finished requests that GET /v1/requests/{id} can show.
	Records int
	// ReportsPerSecond bounds the load reports fetched from all agents together.
	ReportsPerSecond int
	ReportInterval   time.Duration

	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout bounds one write to a caller; a caller that reads nothing for so long counts as disconnected.
	WriteTimeout time.Duration
	// RequestTimeout is the deadline of a request that names none.
	RequestTimeout time.Duration
	// AcceptTimeout bounds the time until an agent admits or refuses a try; past it the try is settled.
	AcceptTimeout time.Duration
	// SettleTimeout bounds the question to an agent what became of a try.
	SettleTimeout time.Duration
	// BalancerWait is the time between the failing readiness check and the close of the listener.
	BalancerWait time.Duration
}

// DefaultSettings returns the values of the settings that a file may leave out.
func DefaultSettings() Settings {
	l := server.DefaultLimits()
	return Settings{
		HeaderBytes:      l.HeaderBytes,
		BodyBytes:        l.BodyBytes,
		BodyBytesTotal:   256 << 20,
		Connections:      l.Connections,
		InProgress:       4096,
		HoldBytes:        256 << 10,
		MaxTries:         3,
		Records:          10_000,
		ReportsPerSecond: 100,
		ReportInterval:   250 * time.Millisecond,
		HeaderTimeout:    l.HeaderTimeout,
		BodyTimeout:      l.BodyTimeout,
		WriteTimeout:     30 * time.Second,
		RequestTimeout:   5 * time.Minute,
		AcceptTimeout:    5 * time.Second,
		SettleTimeout:    time.Second,
		BalancerWait:     5 * time.Second,
	}
}

// Check refuses values that an entry cannot run with.
func (s *Settings) Check() (err error) {
	if err = s.Identity.Check(); err != nil {
		return err
	}
	if err = s.checkAddresses(); err != nil {
		return err
	}
	for _, v := range []struct {
		key   string
		value int64
	}{
		{"HeaderBytes", int64(s.HeaderBytes)}, {"BodyBytes", s.BodyBytes}, {"BodyBytesTotal", s.BodyBytesTotal},
		{"Connections", int64(s.Connections)}, {"InProgress", int64(s.InProgress)}, {"HoldBytes", int64(s.HoldBytes)},
		{"MaxTries", int64(s.MaxTries)}, {"Records", int64(s.Records)}, {"ReportsPerSecond", int64(s.ReportsPerSecond)},
		{"ReportInterval", int64(s.ReportInterval)}, {"HeaderTimeout", int64(s.HeaderTimeout)},
		{"BodyTimeout", int64(s.BodyTimeout)}, {"WriteTimeout", int64(s.WriteTimeout)},
		{"RequestTimeout", int64(s.RequestTimeout)}, {"SettleTimeout", int64(s.SettleTimeout)},
		{"AcceptTimeout", int64(s.AcceptTimeout)},
	} {
		if v.value <= 0 {
			return eris.Errorf("%s: must be positive", v.key)
		}
	}
	if s.BalancerWait < 0 {
		return eris.New("BalancerWait: must not be negative")
	}
	return nil
}

func (s *Settings) checkAddresses() (err error) {
	if err = settings.Address("Address", s.Address); err != nil {
		return err
	}
	if err = settings.Address("AdminAddress", s.AdminAddress); err != nil {
		return err
	}
	if s.PeerAddress != "" {
		if err = settings.Address("PeerAddress", s.PeerAddress); err != nil {
			return err
		}
	}
	if err = s.TLS.Check(); err != nil {
		return eris.Wrap(err, "TLS")
	}
	return eris.Wrap(s.PeerTLS.Check(), "PeerTLS")
}

func (s *Settings) limits() server.Limits {
	l := server.DefaultLimits()
	// The handler answers headers over the limit in the API's form; net/http answers beyond this one in plain text.
	l.HeaderBytes = 4 * s.HeaderBytes
	// Bodies over the limit are told apart from it by the handler.
	l.BodyBytes = s.BodyBytes + 1
	l.HeaderTimeout, l.BodyTimeout = s.HeaderTimeout, s.BodyTimeout
	l.Connections = s.Connections
	return l
}
