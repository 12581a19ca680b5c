package inventory

import (
	"time"

	"shallotring.dev/state/ident"
)

// Endpoint is one incarnation of an engine or of an instance of a plain service.
type Endpoint struct {
	ID      ident.Endpoint
	Service ident.Service
	// Address is IP:PORT.
	Address string
	Zone    ident.Zone
	// BatchSize is the number of requests that run at once.
	BatchSize int
	Leaving   bool
	// Remaining is the time until a leaving endpoint stops; 0 if it is not known.
	Remaining time.Duration
	// StartMilli is the start time of this incarnation in Unix milliseconds; an endpoint may restart under the same ID and then holds
	// nothing.
	StartMilli int64
	// Models lists the base models that it holds; it is empty for plain services.
	Models []ident.ModelVersion
	// Resident lists the adapters that it holds.
	Resident []ident.AdapterVersion
}

// IsEngine reports whether the endpoint runs models.
func (e Endpoint) IsEngine() bool { return len(e.Models) > 0 }
