package tenant

import "time"

// Verdict is what becomes of a request that needs a key.
type Verdict int

// Verdicts on keys.
const (
	// Admitted means that the request may be sent.
	Admitted Verdict = iota
	// Unknown means that no tenant holds the key.
	Unknown
	// Unconfirmed means that the copy of the configuration is too old to decide. The request has not run, and another process may admit it.
	Unconfirmed
)

// clockMargin is the time before the end of a confirmation at which it ends here, since the clocks of the store and of the process differ in rate.
const clockMargin = 100 * time.Millisecond

// Confidence is how long a copy of the configuration may decide about keys after a time at which it was certainly the newest one.
type Confidence struct {
	// Revoke is the time after the store's confirmation of a configuration at which a key that it took away must not work any more, also where the
	// store cannot be reached; 0 means that a copy may admit keys at any age.
	Revoke time.Duration
	// Deny is the time within which a configuration must be in force. An older copy may lack a key; 0 means no bound.
	Deny time.Duration
}

// Admits reports whether a copy that was the newest one some time ago may admit a key that it has.
func (c Confidence) Admits(age time.Duration) bool {
	return c.Revoke <= 0 || age < c.Revoke-min(clockMargin, c.Revoke/2)
}

// Decide returns the verdict on a key; held says whether a tenant of the copy holds it, and age how long ago the copy was certainly the newest one.
func (c Confidence) Decide(held bool, age time.Duration) Verdict {
	switch {
	case held && c.Admits(age):
		return Admitted
	case held, c.Deny > 0 && age >= c.Deny:
		return Unconfirmed
	}
	return Unknown
}
