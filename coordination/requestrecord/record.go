package requestrecord

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/suspicion"
)

// VerdictPrefix is the prefix of the keys of verdicts; each ends with the fingerprint of a request.
const VerdictPrefix = "shallotring/quarantine/request/"

// EvidencePrefix is the prefix of the keys with the evidence of entries; each ends with the entry's host.
const EvidencePrefix = "shallotring/quarantine/evidence/"

// Record is the value of a verdict's key.
type Record struct {
	// Lifted is set if the request is not in quarantine any more; earlier ends do not count against it then.
	Lifted bool `json:",omitempty"`
	Since  time.Time
	// Ends, Incidents, Survivals and the probations are those of the verdict; Host is the entry host that wrote them.
	Ends          int        `json:",omitempty"`
	Incidents     int        `json:",omitempty"`
	Survivals     int        `json:",omitempty"`
	Probations    int        `json:",omitempty"`
	NextProbation time.Time  `json:",omitzero"`
	Host          ident.Host `json:",omitempty"`
}

func newRecord(c suspicion.Change, host ident.Host) Record {
	return Record{Lifted: c.Released, Since: c.Since, Ends: c.Ends, Incidents: c.Incidents, Survivals: c.Survivals,
		Probations: c.Probations, NextProbation: c.NextProbation, Host: host}
}

func (r Record) verdict(p fingerprint.Fingerprint) suspicion.Verdict {
	return suspicion.Verdict{Request: p, Since: r.Since, Ends: r.Ends, Incidents: r.Incidents, Survivals: r.Survivals, Probations: r.Probations, NextProbation: r.NextProbation}
}

// Key returns the key of a request's verdict.
func Key(p fingerprint.Fingerprint) string { return VerdictPrefix + p.String() }

// Decode returns the request and the record of a verdict's key.
func Decode(key string, value []byte) (p fingerprint.Fingerprint, r Record, err error) {
	defer func() { err = eris.Wrapf(err, "decode %s", key) }()
	if p, err = fingerprint.Parse(strings.TrimPrefix(key, VerdictPrefix)); err != nil {
		return p, r, err
	}
	return p, r, json.Unmarshal(value, &r)
}

// kind says how the records of requests relate.
type kind struct{}

// Key returns the key of a request's verdict.
func (kind) Key(p fingerprint.Fingerprint) string { return Key(p) }

// Decode returns the request and the record of a verdict's key.
func (kind) Decode(key string, value []byte) (p fingerprint.Fingerprint, r Record, err error) {
	return Decode(key, value)
}

// Covers reports whether the stored verdict is the same, with as many probations.
func (kind) Covers(stored, r Record) bool {
	return stored.Lifted == r.Lifted && (r.Lifted || stored.Probations >= r.Probations)
}

// Same reports whether two records say the same of the request.
func (kind) Same(a, b Record) bool { return a.Lifted == b.Lifted && a.Probations == b.Probations }

// Merge returns r, which is written only if it has more probations than the stored record.
func (kind) Merge(_, r Record) Record { return r }

// Lifted reports whether the record ends a quarantine.
func (kind) Lifted(r Record) bool { return r.Lifted }

// Expired returns false: a request stays in quarantine.
func (kind) Expired(Record, time.Time) bool { return false }

// Observation is evidence of an entry without agents. The sequence grows over its restarts.
type Observation struct {
	Sequence int64
	control.Evidence
}

// EvidenceRecord is the value of an entry's evidence: the last observations, whose ages are as of the write.
type EvidenceRecord struct {
	Observations []Observation
}
