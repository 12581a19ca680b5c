package resource

import (
	"hash/fnv"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/routing"
)

// ShardCount is the number of values in the key-value service over which the configuration is split.
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

// Shard returns the number of the shard in which the resource is stored.
func (n Name) Shard() int {
	h := fnv.New32a()
	h.Write([]byte(n.String()))
	return int(h.Sum32() % ShardCount)
}

// AdapterVersion is one version of an adapter.
type AdapterVersion struct {
	Version ident.Version
	// Path locates the weights in the weight store.
	Path string
	// Digest is the SHA-256 of the weights in hexadecimal.
	Digest string
}

// Adapter declares a LoRA adapter.
type Adapter struct {
	Name      ident.Adapter
	BaseModel ident.BaseModel
	// Default is the version that serves requests that name none.
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

// EndpointKind distinguishes model engines from plain services.
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
	// ChecksFencing states that the endpoint rejects orders with a stale fencing number.
	ChecksFencing bool
	// Slots is the number of adapters that can be resident in the engine at once, if its memory holds as many.
	Slots int
	// MemoryMegabytes is the memory of an engine for the weights of its base model and of adapters; zero if it is not stated.
	MemoryMegabytes ident.Megabytes `json:",omitempty" toml:",omitempty"`
	// BaseModelMegabytes is the size of the base model, and AdapterMegabytes that of the largest adapter.
	BaseModelMegabytes ident.Megabytes `json:",omitempty" toml:",omitempty"`
	AdapterMegabytes   ident.Megabytes `json:",omitempty" toml:",omitempty"`
	// BatchSize is the number of requests that the endpoint runs at once.
	BatchSize int
	// Leaving keeps new work away from the endpoint, so that it can be removed.
	Leaving bool
}

// AdapterSlots returns the number of adapters that an engine holds beside its base model: its slots, or fewer if its memory holds fewer.
func (e *Endpoint) AdapterSlots() int {
	c := routing.Engine{Adapters: e.Slots, Memory: e.MemoryMegabytes,
		Models: []routing.Model{{Name: e.BaseModel, Size: e.BaseModelMegabytes, AdapterSize: e.AdapterMegabytes}}}
	return c.AdapterSlots()
}

// Route declares how requests to a plain service are handled.
type Route struct {
	Name    string
	Service ident.Service
	// PathPrefix selects the paths below /services/{service}.
	PathPrefix string
	// Methods selects the methods; empty means all.
	Methods []string
	// NonRepeatable marks requests that must not run twice; they need an idempotency key.
	NonRepeatable bool
	// Timeout is the deadline of requests that carry none.
	Timeout Duration
}

// Policy sets the weights of load stalls and batch efficiency and the limits of the deployment.
type Policy struct {
	Name string
	// LoadStallWeight and BatchEfficiencyWeight are relative; the built-in policy has 1 for both.
	LoadStallWeight       float64
	BatchEfficiencyWeight float64
	// LoadsPerSecond and LoadsInFlight limit the loads of all engines together.
	LoadsPerSecond float64
	LoadsInFlight  int
	// LoadTime is the expected duration of one load while no more than LoadsInFlight are in flight; zero means the default.
	LoadTime Duration
	// QueuePerEndpoint limits the tries that wait in the queue of an agent.
	QueuePerEndpoint int
	// RetryRatio limits retries to this fraction of the new requests.
	RetryRatio float64
	// KeyRetention is the time for which an idempotency record is retained.
	KeyRetention Duration
}

// Caller declares a caller and how it is authenticated.
type Caller struct {
	Name ident.Caller
	// TokenSHA256 is the SHA-256 of the bearer token in hexadecimal.
	TokenSHA256 string
	// Share is the caller's weight against other callers; zero means 1.
	Share float64
}

// Duration is a time.Duration that is encoded as text such as "1.5s".
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
