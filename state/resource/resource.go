package resource

import (
	"hash/fnv"
	"time"

	"shallotring.dev/state/ident"
)

// ShardCount is the number of shard values that hold the configuration.
// With 40,000 adapters of about 400 bytes a shard holds about 64 KB, far below the 1 MB limit of a value.
const ShardCount = 256

// Kind is the kind of a resource.
type Kind string

// Kinds of resources.
const (
	KindAdapter  Kind = "Adapter"
	KindRoute    Kind = "Route"
	KindEndpoint Kind = "Endpoint"
	KindPolicy   Kind = "Policy"
	KindCaller   Kind = "Caller"
)

// Name identifies a resource.
type Name struct {
	Kind Kind
	Name string
}

// String returns the form "Kind/name".
func (n Name) String() string { return string(n.Kind) + "/" + n.Name }

// Shard returns the number of the shard that holds the resource.
func (n Name) Shard() int {
	h := fnv.New32a()
	h.Write([]byte(n.String()))
	return int(h.Sum32() % ShardCount)
}

// AdapterVersion is one version of an adapter.
type AdapterVersion struct {
	Version ident.Version
	// Path is the place of the weights in the weight store.
	Path string
	// Digest is the SHA-256 of the weights in hexadecimal.
	Digest string
}

// Adapter declares a LoRA adapter.
type Adapter struct {
	Name      ident.Adapter
	BaseModel ident.BaseModel
	// Default is the version that a request without a version gets.
	Default  ident.Version
	Versions []AdapterVersion
}

// Version returns the declared version; an empty version means the default.
func (a *Adapter) Version(v ident.Version) (av AdapterVersion, ok bool) {
	if v == "" {
		v = a.Default
	}
	for _, x := range a.Versions {
		if x.Version == v {
			return x, true
		}
	}
	return AdapterVersion{}, false
}

// EndpointKind tells model engines from plain services.
type EndpointKind string

// Kinds of endpoints.
const (
	Engine  EndpointKind = "Engine"
	Service EndpointKind = "Service"
)

// Endpoint declares a model engine or a plain service instance.
type Endpoint struct {
	Name ident.Endpoint
	Kind EndpointKind
	// BaseModel is set for engines.
	BaseModel ident.BaseModel
	// Service is set for plain services.
	Service ident.Service
	Host    ident.Host
	Zone    ident.Zone
	// ChecksFencing says that the endpoint refuses an order with an old fencing number.
	ChecksFencing bool
	// Slots is the number of adapters that fit in the engine.
	Slots int
	// BatchSize is the number of requests that the endpoint runs at once.
	BatchSize int
	// Leaving stops new work at the endpoint.
	Leaving bool
}

// Route declares how a plain service's paths are treated.
type Route struct {
	Name    string
	Service ident.Service
	// PathPrefix selects the paths below /services/{service}.
	PathPrefix string
	// Methods selects the methods; empty means all.
	Methods []string
	// NonRepeatable makes an idempotency key required.
	NonRepeatable bool
	// Timeout bounds a request without a deadline of its own.
	Timeout Duration
}

// Policy weighs the measures of the deployment and sets its limits.
type Policy struct {
	Name string
	// LoadStallWeight and BatchEfficiencyWeight are relative to 1.
	LoadStallWeight       float64
	BatchEfficiencyWeight float64
	// LoadsPerSecond and LoadsInFlight bound the loads of all engines together.
	LoadsPerSecond float64
	LoadsInFlight  int
	// LoadTime is the time of one load while no more than LoadsInFlight are in flight; zero means the default.
	LoadTime Duration
	// QueuePerEndpoint bounds the tries that wait at an agent.
	QueuePerEndpoint int
	// RetryRatio is the share of fresh requests that may be retried.
	RetryRatio float64
	// KeyRetention is the time that an idempotency record is kept.
	KeyRetention Duration
}

// Caller declares a caller and how it is recognised.
type Caller struct {
	Name ident.Caller
	// TokenSHA256 is the SHA-256 of the bearer token in hexadecimal.
	TokenSHA256 string
	// Share is the caller's weight against other callers; zero means 1.
	Share float64
}

// Duration is a time.Duration that reads and writes as text such as "1.5s".
type Duration time.Duration

// MarshalText writes the duration in the form of time.Duration.
func (d Duration) MarshalText() (text []byte, err error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}
