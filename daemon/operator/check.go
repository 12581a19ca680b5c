package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"

	"shallotring.dev/platform/catalog"
	"shallotring.dev/platform/store"
	"shallotring.dev/state/audit"
	"shallotring.dev/state/resource"
	"shallotring.dev/state/routing"
)

// errHarmful is the result of a check that found errors.
var errHarmful = eris.New("the configuration has errors")

type checkCommand struct {
	File    string `arg:"" help:"TOML file of resources, or JSON file of a configuration of the users' platform; - for standard input."`
	Against string `help:"File of the same form to compare with." placeholder:"FILE" xor:"against"`
	InForce bool   `help:"Compare with the version in force: the resources of the key-value service or, with --store, the configuration of the users' platform." xor:"against"`
	Store   string `help:"Address of the platform's store, for --in-force." placeholder:"HOST:PORT"`
	Format  string `help:"Output format." enum:"text,json" default:"text"`
}

// Run examines the file and, if asked for, compares it.
func (c *checkCommand) Run(ctx context.Context, s *session) (err error) {
	text, err := s.readFile(c.File)
	if err != nil {
		return err
	}
	var list []audit.Finding
	if isJSON(text) {
		list, err = c.checkTable(ctx, s, text)
	} else {
		list, err = c.checkResources(ctx, s, text)
	}
	if err != nil {
		return err
	}
	if err = c.print(s, list); err != nil {
		return err
	}
	if audit.Harmful(list) {
		return errHarmful
	}
	return nil
}

// readFile reads a file, or standard input for "-".
func (s *session) readFile(path string) (text []byte, err error) {
	if path == "-" {
		text, err = io.ReadAll(s.In)
	} else {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, eris.Wrap(errUsage, err.Error())
	}
	return text, nil
}

// isJSON reports whether a file has the platform's form: no TOML file begins with a brace.
func isJSON(text []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) }

func (c *checkCommand) checkTable(ctx context.Context, s *session, text []byte) (list []audit.Finding, err error) {
	t, list, err := decodeTable(c.File, text)
	if err != nil || t == nil {
		return list, err
	}
	list = append(list, audit.Table(t)...)
	other, name, err := c.otherTable(ctx, s)
	if err != nil {
		return nil, err
	}
	if other != nil {
		former, _, err := decodeTable(name, other)
		if err != nil {
			return nil, err
		}
		if former == nil {
			return nil, eris.Wrapf(errUsage, "%s: entries do not accept it, so it can't be compared with", name)
		}
		list = append(list, audit.Difference(former, t)...)
	}
	return list, nil
}

// decodeTable decodes a configuration as entries do; t is nil if they would refuse it, for the reason in the findings.
func decodeTable(name string, text []byte) (t *routing.Table, list []audit.Finding, err error) {
	if !json.Valid(text) {
		return nil, nil, eris.Wrapf(errUsage, "%s: not valid JSON", name)
	}
	if t, err = catalog.DecodeConfiguration(text); err != nil {
		return nil, []audit.Finding{{Severity: audit.Error, Place: name, Text: "entries ignore the configuration: " + eris.Cause(err).Error(), Advice: "correct the field"}}, nil
	}
	paths, err := catalog.UnknownFields(text)
	if err != nil {
		return nil, nil, eris.Wrap(errUsage, err.Error())
	}
	for _, p := range paths {
		list = append(list, audit.Finding{Severity: audit.Warning, Place: p, Text: "unknown field; it has no effect, or that of the field whose name differs in case only", Advice: "correct its name or remove it"})
	}
	return t, list, nil
}

// otherTable returns the configuration to compare with, nil if there is none.
func (c *checkCommand) otherTable(ctx context.Context, s *session) (text []byte, name string, err error) {
	switch {
	case c.Against != "":
		text, err = s.readFile(c.Against)
		return text, c.Against, err
	case !c.InForce:
		return nil, "", nil
	case c.Store == "":
		return nil, "", eris.Wrap(errUsage, "--in-force needs --store for a configuration of the users' platform")
	}
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	list, _, err := store.New(c.Store).List(ctx, catalog.ConfigurationKey)
	if err != nil {
		return nil, "", eris.Wrapf(errUsage, "read the configuration in force: %v", err)
	}
	for _, r := range list {
		if r.Key == catalog.ConfigurationKey {
			return r.Value, catalog.ConfigurationKey, nil
		}
	}
	return nil, "", nil
}

func (c *checkCommand) checkResources(ctx context.Context, s *session, text []byte) (list []audit.Finding, err error) {
	resources, err := resource.ParseFile(string(text))
	var syntax toml.ParseError
	switch {
	case errors.As(err, &syntax):
		return nil, eris.Wrap(errUsage, c.File+": "+err.Error())
	case err != nil:
		return []audit.Finding{{Severity: audit.Error, Place: c.File, Text: "apply refuses the file: " + err.Error(), Advice: "correct the field"}}, nil
	}
	list = audit.Resources(resources)
	switch {
	case c.Against != "":
		other, err := s.readResources(c.Against)
		if err != nil {
			return nil, err
		}
		list = append(list, audit.ResourceDifference(other, resources)...)
	case c.InForce:
		client, closeClient, err := s.client()
		if err != nil {
			return nil, err
		}
		defer closeClient()
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		set, _, err := s.editor(client).ReadAll(ctx)
		if err != nil {
			return nil, eris.Wrapf(errUsage, "read the resources in force: %v", err)
		}
		list = append(list, audit.ResourceDifference(set.All(), resources)...)
	}
	if c.Format == "text" {
		_, err = fmt.Fprintf(s.Out, "%s: %d resources, all valid\n", c.File, len(resources))
	}
	return list, err
}

// print writes the findings, one a line.
func (c *checkCommand) print(s *session, list []audit.Finding) (err error) {
	audit.Sort(list)
	if c.Format == outputJSON {
		values := make([]any, len(list))
		for i, f := range list {
			values[i] = f
		}
		return printJSON(s.Out, values)
	}
	for _, f := range list {
		advice := ""
		if f.Advice != "" {
			advice = " (" + f.Advice + ")"
		}
		if _, err = fmt.Fprintf(s.Out, "%-7s %s: %s%s\n", f.Severity, f.Place, strings.TrimSpace(f.Text), advice); err != nil {
			return err
		}
	}
	return nil
}
