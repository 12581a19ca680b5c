package resource

import (
	"encoding/hex"
	"regexp"

	"github.com/rotisserie/eris"
)

// namePattern limits names because they appear in URLs, log lines and keys of the key-value service. "@" is not allowed,
// because it separates an adapter from its version.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$`)

// Validate checks one resource given as a pointer to its type.
func Validate(r any) (err error) {
	n, ok := NameOf(r)
	if !ok {
		return eris.Errorf("unknown resource type %T", r)
	}
	defer func() { err = eris.Wrap(err, n.String()) }()
	if !namePattern.MatchString(n.Name) {
		return eris.Errorf("Name: %q must match %s", n.Name, namePattern)
	}
	switch x := r.(type) {
	case *Adapter:
		return validateAdapter(x)
	case *Endpoint:
		return validateEndpoint(x)
	case *Route:
		return validateRoute(x)
	case *Policy:
		return validatePolicy(x)
	case *Caller:
		return validateCaller(x)
	}
	return nil
}

func validateAdapter(a *Adapter) (err error) {
	if a.BaseModel == "" {
		return eris.New("BaseModel: must be set")
	}
	if len(a.Versions) == 0 {
		return eris.New("Versions: must list at least one version")
	}
	seen := make(map[string]bool)
	for _, v := range a.Versions {
		switch {
		case !namePattern.MatchString(string(v.Version)):
			return eris.Errorf("Versions: version %q must match %s", v.Version, namePattern)
		case seen[string(v.Version)]:
			return eris.Errorf("Versions: version %q is declared twice", v.Version)
		case v.Path == "":
			return eris.Errorf("Versions: version %q: Path: must be set", v.Version)
		case !isSHA256(v.Digest):
			return eris.Errorf("Versions: version %q: Digest: must be a SHA-256 in hexadecimal", v.Version)
		}
		seen[string(v.Version)] = true
	}
	if !seen[string(a.Default)] {
		return eris.Errorf("Default: version %q is not declared", a.Default)
	}
	return nil
}

func validateEndpoint(e *Endpoint) (err error) {
	switch e.Kind {
	case Engine:
		if e.BaseModel == "" {
			return eris.New("BaseModel: must be set for an engine")
		}
		if e.Slots < 1 {
			return eris.New("Slots: must be at least 1 for an engine")
		}
		if err = validateMemory(e); err != nil {
			return err
		}
	case Service:
		if e.Service == "" {
			return eris.New("Service: must be set for a plain service")
		}
	default:
		return eris.Errorf("Kind: %q must be %q or %q", e.Kind, Engine, Service)
	}
	if e.BatchSize < 1 {
		return eris.New("BatchSize: must be at least 1")
	}
	return nil
}

// validateMemory rejects an engine that could never hold an adapter, since all requests for one would be refused.
func validateMemory(e *Endpoint) (err error) {
	switch {
	case e.MemoryMegabytes < 0 || e.BaseModelMegabytes < 0 || e.AdapterMegabytes < 0:
		return eris.New("MemoryMegabytes, BaseModelMegabytes, AdapterMegabytes: must not be negative")
	case e.MemoryMegabytes == 0 && (e.BaseModelMegabytes > 0 || e.AdapterMegabytes > 0):
		return eris.New("MemoryMegabytes: must be set with BaseModelMegabytes or AdapterMegabytes")
	case e.MemoryMegabytes > 0 && e.AdapterMegabytes == 0:
		return eris.New("AdapterMegabytes: must be set with MemoryMegabytes")
	case e.AdapterSlots() < 1:
		return eris.New("MemoryMegabytes: holds no adapter beside the base model")
	}
	return nil
}

func validateRoute(r *Route) (err error) {
	if r.Service == "" {
		return eris.New("Service: must be set")
	}
	if r.PathPrefix == "" || r.PathPrefix[0] != '/' {
		return eris.Errorf("PathPrefix: %q must start with /", r.PathPrefix)
	}
	if r.Timeout < 0 {
		return eris.New("Timeout: must not be negative")
	}
	return nil
}

func validatePolicy(p *Policy) (err error) {
	switch {
	case p.LoadStallWeight < 0 || p.BatchEfficiencyWeight < 0:
		return eris.New("LoadStallWeight, BatchEfficiencyWeight: must not be negative")
	case p.LoadsPerSecond <= 0:
		return eris.New("LoadsPerSecond: must be positive")
	case p.LoadsInFlight < 1:
		return eris.New("LoadsInFlight: must be at least 1")
	case p.LoadTime < 0:
		return eris.New("LoadTime: must not be negative")
	case p.QueuePerEndpoint < 1:
		return eris.New("QueuePerEndpoint: must be at least 1")
	case p.RetryRatio < 0 || p.RetryRatio > 1:
		return eris.New("RetryRatio: must be between 0 and 1")
	case p.KeyRetention <= 0:
		return eris.New("KeyRetention: must be positive")
	}
	return nil
}

func validateCaller(c *Caller) (err error) {
	if !isSHA256(c.TokenSHA256) {
		return eris.New("TokenSHA256: must be a SHA-256 in hexadecimal")
	}
	if c.Share < 0 {
		return eris.New("Share: must not be negative")
	}
	return nil
}

func isSHA256(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 32
}
