package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"

	"shallotring.dev/protocol/openai"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

// callerCredential is a caller and the digest of its token.
type callerCredential struct {
	*resource.Caller
	digest [sha256.Size]byte
}

// snapshot is one configuration with the lookups that requests need, computed once for each change.
type snapshot struct {
	*resource.Set
	callers   []callerCredential
	services  map[ident.Service]bool
	modelList []byte
}

// current returns the snapshot of the configuration in force.
func (e *Entry) current() *snapshot {
	set := e.configuration.Current()
	if snap := e.snapshot.Load(); snap != nil && snap.Set == set {
		return snap
	}
	snap := newSnapshot(set)
	e.snapshot.Store(snap)
	e.budget.setRatio(set.Policy().RetryRatio)
	return snap
}

func newSnapshot(set *resource.Set) *snapshot {
	snap := &snapshot{Set: set, services: make(map[ident.Service]bool)}
	for _, c := range set.Callers() {
		credential := callerCredential{Caller: c}
		if n, err := hex.Decode(credential.digest[:], []byte(c.TokenSHA256)); err == nil && n == sha256.Size {
			snap.callers = append(snap.callers, credential)
		}
	}
	for _, x := range set.Endpoints() {
		if x.Kind == resource.Service {
			snap.services[x.Service] = true
		}
	}
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for _, a := range set.Adapters() {
		list.Data = append(list.Data, openai.Model{ID: string(a.Name), Object: "model", OwnedBy: string(a.BaseModel)})
	}
	snap.modelList, _ = json.Marshal(list) // strings and numbers always marshal
	return snap
}

// caller finds the caller by its token. The lookup time does not depend on which caller matches.
func (snap *snapshot) caller(token string) (c *resource.Caller, ok bool) {
	digest := sha256.Sum256([]byte(token))
	for i := range snap.callers {
		if subtle.ConstantTimeCompare(snap.callers[i].digest[:], digest[:]) == 1 {
			c = snap.callers[i].Caller
		}
	}
	return c, c != nil
}
