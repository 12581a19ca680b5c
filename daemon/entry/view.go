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

type knownCaller struct {
	*resource.Caller
	digest [sha256.Size]byte
}

// view is what the request path needs of one configuration, computed once for each change.
type view struct {
	*resource.Set
	callers  []knownCaller
	services map[ident.Service]bool
	models   []byte
}

// current returns the view of the configuration in force.
func (e *Entry) current() *view {
	set := e.configuration.Current()
	if v := e.view.Load(); v != nil && v.Set == set {
		return v
	}
	v := newView(set)
	e.view.Store(v)
	e.budget.setRatio(set.Policy().RetryRatio)
	return v
}

func newView(set *resource.Set) *view {
	v := &view{Set: set, services: make(map[ident.Service]bool)}
	for _, c := range set.Callers() {
		k := knownCaller{Caller: c}
		if n, err := hex.Decode(k.digest[:], []byte(c.TokenSHA256)); err == nil && n == sha256.Size {
			v.callers = append(v.callers, k)
		}
	}
	for _, x := range set.Endpoints() {
		if x.Kind == resource.Service {
			v.services[x.Service] = true
		}
	}
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for _, a := range set.Adapters() {
		list.Data = append(list.Data, openai.Model{ID: string(a.Name), Object: "model", OwnedBy: string(a.BaseModel)})
	}
	v.models, _ = json.Marshal(list) // strings and numbers always marshal
	return v
}

// caller finds the caller by its token; the time does not depend on which caller matches.
func (v *view) caller(token string) (c *resource.Caller, ok bool) {
	digest := sha256.Sum256([]byte(token))
	for i := range v.callers {
		if subtle.ConstantTimeCompare(v.callers[i].digest[:], digest[:]) == 1 {
			c = v.callers[i].Caller
		}
	}
	return c, c != nil
}
