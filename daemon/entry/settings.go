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
	// AdminTLS holds the keys of the admin port.
	AdminTLS settings.TLS
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
	for _, r := range s.numbers() {
		if err = r.Check(); err != nil {
			return err
		}
	}
	for _, r := range s.times() {
		if err = r.Check(); err != nil {
			return err
		}
	}
	return nil
}

const (
	// maxBodyBytes leaves room for the other fields of a RunRequest within the limit of the agents.
	maxBodyBytes = server.PeerBodyBytes - 1<<20
	maxCount     = 1 << 20
	maxBytes     = 1 << 40
	leastTime    = time.Millisecond
	longestTime  = 24 * time.Hour
)

func (s *Settings) numbers() []settings.Range[int64] {
	return []settings.Range[int64]{
		{Key: "HeaderBytes", Value: int64(s.HeaderBytes), Min: 1, Max: 1 << 20},
		{Key: "BodyBytes", Value: s.BodyBytes, Min: 1, Max: maxBodyBytes},
		{Key: "BodyBytesTotal", Value: s.BodyBytesTotal, Min: 1, Max: maxBytes},
		{Key: "Connections", Value: int64(s.Connections), Min: 1, Max: maxCount},
		{Key: "InProgress", Value: int64(s.InProgress), Min: 1, Max: maxCount},
		{Key: "HoldBytes", Value: int64(s.HoldBytes), Min: 1, Max: 1 << 30},
		{Key: "MaxTries", Value: int64(s.MaxTries), Min: 1, Max: 100},
		{Key: "Records", Value: int64(s.Records), Min: 1, Max: maxCount},
		{Key: "ReportsPerSecond", Value: int64(s.ReportsPerSecond), Min: 1, Max: 100_000},
	}
}

func (s *Settings) times() []settings.Range[time.Duration] {
	return []settings.Range[time.Duration]{
		{Key: "ReportInterval", Value: s.ReportInterval, Min: leastTime, Max: time.Minute},
		{Key: "HeaderTimeout", Value: s.HeaderTimeout, Min: leastTime, Max: longestTime},
		{Key: "BodyTimeout", Value: s.BodyTimeout, Min: leastTime, Max: longestTime},
		{Key: "WriteTimeout", Value: s.WriteTimeout, Min: leastTime, Max: longestTime},
		{Key: "RequestTimeout", Value: s.RequestTimeout, Min: leastTime, Max: longestTime},
		{Key: "AcceptTimeout", Value: s.AcceptTimeout, Min: leastTime, Max: longestTime},
		{Key: "SettleTimeout", Value: s.SettleTimeout, Min: leastTime, Max: time.Minute},
		{Key: "BalancerWait", Value: s.BalancerWait, Max: longestTime},
	}
}

func (s *Settings) checkAddresses() (err error) {
	if err = eris.Wrap(s.TLS.CheckListener(), "TLS"); err != nil {
		return err
	}
	if err = eris.Wrap(s.PeerTLS.CheckMutual(), "PeerTLS"); err != nil {
		return err
	}
	if err = eris.Wrap(s.AdminTLS.CheckListener(), "AdminTLS"); err != nil {
		return err
	}
	list := []settings.Listener{{Key: "Address", Address: s.Address, TLS: s.TLS}, {Key: "AdminAddress", Address: s.AdminAddress, TLS: s.AdminTLS}}
	if s.PeerAddress != "" {
		list = append(list, settings.Listener{Key: "PeerAddress", Address: s.PeerAddress, TLS: s.PeerTLS})
	}
	return settings.CheckListeners(s.AllowInsecure, list...)
}

func (s *Settings) limits() server.Limits {
	l := server.DefaultLimits()
	// The handler answers headers over the limit in the API's form; net/http answers beyond this one in plain text.
	l.HeaderBytes = 4 * s.HeaderBytes
	// Bodies over the limit are told apart from it by the handler.
	l.BodyBytes = s.BodyBytes + 1
	l.HeaderTimeout, l.BodyTimeout, l.WriteTimeout = s.HeaderTimeout, s.BodyTimeout, s.WriteTimeout
	l.Connections = s.Connections
	return l
}
