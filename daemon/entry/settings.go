package entry

import (
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/holding"
	"shallotring.dev/transport/guard"
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
	// TLS holds the key files of the callers' listener, PeerTLS those for connections with agents and other entries.
	TLS     settings.TLS
	PeerTLS settings.TLS
	// AdminTLS holds the key files of the admin port.
	AdminTLS settings.TLS
	// AllowInsecure permits listeners off loopback without TLS.
	AllowInsecure bool
	// AllowAnonymous serves callers without a token.
	AllowAnonymous bool

	HeaderBytes int
	BodyBytes   int64
	// BodyBytesTotal limits the memory that all callers hold together, if the memory of the machine does not limit it further.
	BodyBytesTotal int64
	Connections    int
	// InProgress limits the number of requests in progress.
	InProgress int
	// HoldBytes is the size up to which a plain response is buffered until all of it is verified.
	HoldBytes int
	MaxTries  int
	// Records is the number of finished requests that GET /v1/requests/{id} can show.
	Records int
	// ReportsPerSecond limits the load reports fetched from all agents together.
	ReportsPerSecond int
	ReportInterval   time.Duration

	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout limits one write to a caller; a caller that reads nothing for this long counts as disconnected.
	WriteTimeout time.Duration
	// RequestTimeout sets the deadline of a request that has neither a deadline header nor a route timeout.
	RequestTimeout time.Duration
	// AcceptTimeout limits the time until an agent accepts or refuses a try; after it the try is settled.
	AcceptTimeout time.Duration
	// SettleTimeout limits the call that settles a try: it finds out from the agent whether the try started, and forbids
	// it if it did not.
	SettleTimeout time.Duration
	// BalancerWait is the time between the start of a graceful stop, when the readiness check begins to fail, and the
	// closing of the listener; the load balancer stops sending requests in it.
	BalancerWait time.Duration
}

// DefaultSettings returns the values of the settings that a settings file may omit.
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

// Check returns an error for values that an entry cannot run with.
func (s *Settings) Check() (err error) {
	if err = s.Identity.Check(); err != nil {
		return err
	}
	if err = s.checkAddresses(); err != nil {
		return err
	}
	for _, r := range s.integerRanges() {
		if err = r.Check(); err != nil {
			return err
		}
	}
	for _, r := range s.durationRanges() {
		if err = r.Check(); err != nil {
			return err
		}
	}
	return nil
}

const (
	// maxBodyBytes leaves 1 MiB of the agents' message limit for the other fields of a RunRequest.
	maxBodyBytes = server.PeerBodyBytes - 1<<20
	// The limits below apply to the counts, sizes and durations that have no narrower range.
	maxCountSetting    = 1 << 20
	maxBytesSetting    = 1 << 40
	minDurationSetting = time.Millisecond
	maxDurationSetting = 24 * time.Hour
)

func (s *Settings) integerRanges() []settings.Range[int64] {
	return []settings.Range[int64]{
		{Key: "HeaderBytes", Value: int64(s.HeaderBytes), Min: 1, Max: 1 << 20},
		{Key: "BodyBytes", Value: s.BodyBytes, Min: 1, Max: maxBodyBytes},
		{Key: "BodyBytesTotal", Value: s.BodyBytesTotal, Min: 1, Max: maxBytesSetting},
		{Key: "Connections", Value: int64(s.Connections), Min: 1, Max: maxCountSetting},
		{Key: "InProgress", Value: int64(s.InProgress), Min: 1, Max: maxCountSetting},
		{Key: "HoldBytes", Value: int64(s.HoldBytes), Min: 1, Max: 1 << 30},
		{Key: "MaxTries", Value: int64(s.MaxTries), Min: 1, Max: 100},
		{Key: "Records", Value: int64(s.Records), Min: 1, Max: maxCountSetting},
		{Key: "ReportsPerSecond", Value: int64(s.ReportsPerSecond), Min: 1, Max: 100_000},
	}
}

func (s *Settings) durationRanges() []settings.Range[time.Duration] {
	return []settings.Range[time.Duration]{
		{Key: "ReportInterval", Value: s.ReportInterval, Min: minDurationSetting, Max: time.Minute},
		{Key: "HeaderTimeout", Value: s.HeaderTimeout, Min: minDurationSetting, Max: maxDurationSetting},
		{Key: "BodyTimeout", Value: s.BodyTimeout, Min: minDurationSetting, Max: maxDurationSetting},
		{Key: "WriteTimeout", Value: s.WriteTimeout, Min: minDurationSetting, Max: maxDurationSetting},
		{Key: "RequestTimeout", Value: s.RequestTimeout, Min: minDurationSetting, Max: maxDurationSetting},
		{Key: "AcceptTimeout", Value: s.AcceptTimeout, Min: minDurationSetting, Max: maxDurationSetting},
		{Key: "SettleTimeout", Value: s.SettleTimeout, Min: minDurationSetting, Max: time.Minute},
		{Key: "BalancerWait", Value: s.BalancerWait, Max: maxDurationSetting},
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
	// The handler refuses headers over HeaderBytes with an API error; net/http refuses those over this limit in plain text.
	l.HeaderBytes = 4 * s.HeaderBytes
	// The extra byte lets the handler distinguish a body over the limit from one of exactly the limit.
	l.BodyBytes = s.BodyBytes + 1
	l.HeaderTimeout, l.BodyTimeout, l.WriteTimeout = s.HeaderTimeout, s.BodyTimeout, s.WriteTimeout
	// The guard limits the connections.
	l.Connections = 0
	return l
}

// callerLimits returns the limits of what callers may hold, by the settings and by the memory and descriptors of the machine.
func (s *Settings) callerLimits() holding.Limits {
	l := guard.LimitsOf(0, 0)
	return holding.Limits{Bytes: min(l.Bytes, s.BodyBytesTotal), Holders: min(l.Holders, s.Connections)}
}
