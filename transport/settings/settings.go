package settings

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"
)

// Checker is implemented by settings that check their own values.
// An error starts with the key that is wrong.
type Checker interface {
	Check() (err error)
}

// Load reads a settings file into s and checks it; the error names file, key and reason.
func Load(path string, s Checker) (err error) {
	defer func() { err = eris.Wrap(err, path) }()
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Parse(string(text), s)
}

// Parse reads settings from text; keys that s does not have, in another case too, and durations without a unit are refused.
func Parse(text string, s Checker) (err error) {
	meta, err := toml.Decode(text, s)
	if err != nil {
		return err
	}
	fields := make(map[string]reflect.Type)
	collect(reflect.TypeOf(s).Elem(), "", fields)
	for _, k := range meta.Keys() {
		if err = checkKey(&meta, k, fields); err != nil {
			return err
		}
	}
	return s.Check()
}

// collect lists the keys of a type with the types of their values; embedded types share the table of their owner.
func collect(t reflect.Type, prefix string, fields map[string]reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Name
		switch {
		case f.Anonymous:
			collect(f.Type, prefix, fields)
			continue
		case f.Type.Kind() == reflect.Struct:
			collect(f.Type, name+".", fields)
		}
		fields[name] = f.Type
	}
}

func checkKey(meta *toml.MetaData, k toml.Key, fields map[string]reflect.Type) (err error) {
	name := strings.Join(k, ".")
	t, ok := fields[name]
	if !ok {
		// The decoder ignores case, so that a key in two cases would be set twice.
		for known := range fields {
			if strings.EqualFold(known, name) {
				return eris.Errorf("%s: unknown key; it is written %s", name, known)
			}
		}
		return eris.Errorf("%s: unknown key", name)
	}
	if t == reflect.TypeFor[time.Duration]() && meta.Type(k...) != "String" {
		return eris.Errorf("%s: must be a string with a unit, such as \"5s\" or \"250ms\"", name)
	}
	return nil
}

// Range is the closed interval of the values of a key.
type Range[T int64 | time.Duration] struct {
	Key        string
	Value      T
	Least, Max T
}

// Check refuses a value outside the range.
func (r Range[T]) Check() (err error) {
	if r.Value < r.Least || r.Value > r.Max {
		return eris.Errorf("%s: %v is not between %v and %v", r.Key, r.Value, r.Least, r.Max)
	}
	return nil
}

// Distinct refuses a list that names a value twice.
func Distinct(key string, list []string) (err error) {
	for i, x := range list {
		if slices.Contains(list[:i], x) {
			return eris.Errorf("%s: %q is listed twice", key, x)
		}
	}
	return nil
}
