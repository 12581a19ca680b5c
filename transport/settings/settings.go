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

// Checker is implemented by settings that validate their own values.
// An error starts with the key of the invalid value.
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

// Parse reads settings from text and checks them. It rejects keys that s does not have, keys in another case and durations
// without a unit.
func Parse(text string, s Checker) (err error) {
	meta, err := toml.Decode(text, s)
	if err != nil {
		return err
	}
	fields := make(map[string]reflect.Type)
	collectKeys(reflect.TypeOf(s).Elem(), "", fields)
	for _, k := range meta.Keys() {
		if err = checkKey(&meta, k, fields); err != nil {
			return err
		}
	}
	return s.Check()
}

// collectKeys lists the keys of a type with the types of their values; the keys of an embedded type belong to the table of the
// outer type.
func collectKeys(t reflect.Type, prefix string, fields map[string]reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Name
		switch {
		case f.Anonymous:
			collectKeys(f.Type, prefix, fields)
			continue
		case f.Type.Kind() == reflect.Struct:
			collectKeys(f.Type, name+".", fields)
		}
		fields[name] = f.Type
	}
}

func checkKey(meta *toml.MetaData, k toml.Key, fields map[string]reflect.Type) (err error) {
	name := strings.Join(k, ".")
	t, ok := fields[name]
	if !ok {
		// The decoder ignores case, so a key in two spellings would set the same value twice.
		for correct := range fields {
			if strings.EqualFold(correct, name) {
				return eris.Errorf("%s: unknown key; it is written %s", name, correct)
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
	Key      string
	Value    T
	Min, Max T
}

// Check rejects a value outside the range.
func (r Range[T]) Check() (err error) {
	if r.Value < r.Min || r.Value > r.Max {
		return eris.Errorf("%s: %v is not between %v and %v", r.Key, r.Value, r.Min, r.Max)
	}
	return nil
}

// CheckDistinct checks that a list names no value twice.
func CheckDistinct(key string, list []string) (err error) {
	for i, x := range list {
		if slices.Contains(list[:i], x) {
			return eris.Errorf("%s: %q is listed twice", key, x)
		}
	}
	return nil
}
