package settings

import (
	"os"
	"strings"

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

// Parse reads settings from text; keys that s does not have are refused.
func Parse(text string, s Checker) (err error) {
	meta, err := toml.Decode(text, s)
	if err != nil {
		return err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		names := make([]string, len(unknown))
		for i, k := range unknown {
			names[i] = k.String()
		}
		return eris.Errorf("%s: unknown key", strings.Join(names, ", "))
	}
	return s.Check()
}
