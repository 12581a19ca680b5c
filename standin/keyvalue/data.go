package keyvalue

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/keyvalue/gateway"
)

// data is the state that survives a restart of the service. The history is not part of it, as after a compaction.
type data struct {
	Revision  int64
	LastLease int64
	Keys      map[string]gateway.KeyValue
	// Leases maps the id of each lease to its time to live.
	Leases map[int64]time.Duration
}

// Save writes the data to a file; it does nothing if the name is empty.
func (s *Service) Save(file string) (err error) {
	if file == "" {
		return nil
	}
	defer func() { err = eris.Wrap(err, "save the data of the key-value stand-in") }()
	s.mu.Lock()
	d := data{Revision: s.revision, LastLease: s.lastLease, Keys: s.keys, Leases: make(map[int64]time.Duration)}
	for id, l := range s.leases {
		d.Leases[id] = l.ttl
	}
	text, err := json.Marshal(d)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o600)
}

// Load reads the data of a file; it does nothing if the name is empty or the file does not exist. The time to live of each lease
// starts again, as in etcd after an election.
func (s *Service) Load(file string) (err error) {
	if file == "" {
		return nil
	}
	defer func() { err = eris.Wrap(err, "load the data of the key-value stand-in") }()
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var d data
	if err = json.Unmarshal(text, &d); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.compactedRevision, s.lastLease = d.Revision, d.Revision, d.LastLease
	for k, v := range d.Keys {
		s.keys[k] = v
	}
	for id, ttl := range d.Leases {
		s.addLease(id, ttl)
	}
	return nil
}
