package resource

import (
	"reflect"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"
)

// File is the TOML form in which operators declare resources.
type File struct {
	Adapter  []Adapter  `toml:",omitempty"`
	Route    []Route    `toml:",omitempty"`
	Endpoint []Endpoint `toml:",omitempty"`
	Policy   []Policy   `toml:",omitempty"`
	Caller   []Caller   `toml:",omitempty"`
}

// ParseFile reads resources from TOML and validates them. It rejects unknown keys, keys in another case and resources that
// are declared twice.
func ParseFile(text string) (list []any, err error) {
	var f File
	meta, err := toml.Decode(text, &f)
	if err != nil {
		return nil, err
	}
	if err = checkKeys(meta); err != nil {
		return nil, err
	}
	sh := Shard{Adapters: f.Adapter, Routes: f.Route, Endpoints: f.Endpoint, Policies: f.Policy, Callers: f.Caller}
	list = sh.All()
	seen := make(map[Name]bool)
	for _, r := range list {
		if err = Validate(r); err != nil {
			return nil, err
		}
		n, _ := NameOf(r)
		if seen[n] {
			return nil, eris.Errorf("%s is declared twice", n)
		}
		seen[n] = true
	}
	return list, nil
}

// checkKeys rejects unknown keys. The decoder ignores case, but a file must write each key in Pascal case.
func checkKeys(meta toml.MetaData) (err error) {
	for _, k := range meta.Undecoded() {
		return eris.Errorf("%s: unknown key", k)
	}
	for _, k := range meta.Keys() {
		if !hasKey(reflect.TypeFor[File](), k) {
			return eris.Errorf("%s: unknown key; keys are written in Pascal case", k)
		}
	}
	return nil
}

// hasKey reports whether the type has the nested key in exactly this case.
func hasKey(t reflect.Type, key toml.Key) bool {
	for _, part := range key {
		for t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return false
		}
		f, ok := t.FieldByName(part)
		if !ok {
			return false
		}
		t = f.Type
	}
	return true
}

// File returns the resources of the shard in the form in which operators declare them.
func (sh *Shard) File() File {
	return File{
		Adapter:  sh.Adapters,
		Route:    sh.Routes,
		Endpoint: sh.Endpoints,
		Policy:   sh.Policies,
		Caller:   sh.Callers,
	}
}
