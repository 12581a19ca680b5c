package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/configuration"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

// Actions on a resource.
const (
	actionWritten   = "written"
	actionUnchanged = "unchanged"
	actionDeleted   = "deleted"
	actionAccepted  = "accepted"
)

// change is one line of the output of apply, delete and watch.
type change struct {
	Kind     resource.Kind
	Name     string
	Action   string
	Revision ident.Revision
	InForce  string `json:",omitempty"`
	Reason   string `json:",omitempty"`
}

func (c change) row() []string {
	return []string{string(c.Kind) + "/" + c.Name, c.Action, fmt.Sprint(c.Revision), c.InForce, c.Reason}
}

const changeHeading = "RESOURCE ACTION REVISION INFORCE REASON"

func (s *session) printChanges(heading string, list []change) (err error) {
	rows, values := make([][]string, len(list)), make([]any, len(list))
	for i, c := range list {
		rows[i], values[i] = c.row(), c
	}
	return s.print(heading, rows, values)
}

// readResources reads a TOML file, or standard input for "-".
func (s *session) readResources(path string) (list []any, err error) {
	text, err := s.readFile(path)
	if err != nil {
		return nil, err
	}
	if list, err = resource.ParseFile(string(text)); err != nil {
		return nil, eris.Wrap(errUsage, path+": "+err.Error())
	}
	return list, nil
}

// parseName parses Kind/name.
func parseName(text string) (n resource.Name, err error) {
	kind, name, ok := strings.Cut(text, "/")
	n = resource.Name{Kind: resource.Kind(kind), Name: name}
	if !ok || name == "" {
		return n, eris.Wrapf(errUsage, "%q must have the form Kind/name", text)
	}
	return n, checkKind(n.Kind)
}

var kinds = []resource.Kind{
	resource.KindAdapter, resource.KindRoute, resource.KindEndpoint, resource.KindPolicy, resource.KindCaller,
}

func checkKind(k resource.Kind) (err error) {
	if !slices.Contains(kinds, k) {
		return eris.Wrapf(errUsage, "kind %q must be one of %v", k, kinds)
	}
	return nil
}

type applyCommand struct {
	File     string         `short:"f" required:"" help:"TOML file of resources; - for standard input." placeholder:"FILE"`
	Revision *int64         `help:"Revision that the file's only resource must have now; 0 if it must not exist. By default the revision is read just before the write." placeholder:"N"`
	Wait     *time.Duration `help:"Wait up to this time until the resources are in force at each live process." placeholder:"DURATION"`
}

// Help returns the details of the command.
func (*applyCommand) Help() string {
	return `Each resource is written by compare-and-swap on its revision. Unchanged resources are not written.
Unknown keys are refused. The first conflict ends the command; resources that were written before it stay and are listed.

Example of a file:

    [[Adapter]]
    Name = "core-log"
    BaseModel = "base"
    Default = "v1"

    [[Adapter.Versions]]
    Version = "v1"
    Path = "core-log/v1"
    Digest = "<SHA-256 of the weights>"`
}

// Run writes the resources.
func (a *applyCommand) Run(ctx context.Context, s *session) (err error) {
	list, err := s.readResources(a.File)
	if err != nil {
		return err
	}
	if a.Revision != nil && len(list) != 1 {
		return eris.Wrapf(errUsage, "--revision needs a file with one resource, %s has %d", a.File, len(list))
	}
	c, closeClient, err := s.client()
	if err != nil {
		return err
	}
	defer closeClient()
	callCtx, cancel := s.withTimeout(ctx)
	defer cancel()
	var changes []change
	for _, r := range list {
		written, writeErr := a.write(callCtx, s.editor(c), r)
		if writeErr != nil {
			err = writeErr
			break
		}
		changes = append(changes, written)
	}
	if printErr := s.printChanges(changeHeading, changes); printErr != nil && err == nil {
		err = printErr
	}
	if err != nil || a.Wait == nil {
		return err
	}
	return s.waitAccepted(ctx, c, changes, *a.Wait)
}

func (a *applyCommand) write(ctx context.Context, e *configuration.Editor, r any) (c change, err error) {
	n, _ := resource.NameOf(r)
	c = change{Kind: n.Kind, Name: n.Name, Action: actionWritten}
	if a.Revision != nil {
		c.Revision, err = e.Put(ctx, r, ident.Revision(*a.Revision))
		return c, err
	}
	old, revision, err := e.Read(ctx, n)
	if err != nil {
		return c, err
	}
	if old != nil && configuration.Equal(old, r) {
		c.Action, c.Revision = actionUnchanged, revision
		return c, nil
	}
	c.Revision, err = e.Put(ctx, r, revision)
	return c, err
}

type deleteCommand struct {
	Resource string `arg:"" help:"Resource as Kind/name."`
	Revision *int64 `help:"Revision that the resource must have now. By default the revision is read just before the write." placeholder:"N"`
}

// Run deletes the resource.
func (d *deleteCommand) Run(ctx context.Context, s *session) (err error) {
	n, err := parseName(d.Resource)
	if err != nil {
		return err
	}
	c, closeClient, err := s.client()
	if err != nil {
		return err
	}
	defer closeClient()
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	e := s.editor(c)
	_, revision, err := e.Read(ctx, n)
	if err != nil {
		return err
	}
	if revision == 0 {
		return eris.Wrap(errNotFound, n.String())
	}
	if d.Revision != nil {
		revision = ident.Revision(*d.Revision)
	}
	revision, err = e.Delete(ctx, n, revision)
	if err != nil {
		return err
	}
	return s.printChanges(changeHeading, []change{{Kind: n.Kind, Name: n.Name, Action: actionDeleted, Revision: revision}})
}

type getCommand struct {
	Resource string `arg:"" optional:"" help:"Kind or Kind/name; all resources by default."`
}

// declaredResource is the JSON form of a resource with its revision.
type declaredResource struct {
	Kind     resource.Kind
	Name     string
	Revision ident.Revision
	Resource any
}

// Run shows the resources.
func (g *getCommand) Run(ctx context.Context, s *session) (err error) {
	selector, err := g.selector()
	if err != nil {
		return err
	}
	c, closeClient, err := s.client()
	if err != nil {
		return err
	}
	defer closeClient()
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	set, err := s.readSelected(ctx, c, selector)
	if err != nil {
		return err
	}
	list := selectResources(set, selector)
	if selector.Name != "" && len(list) == 0 {
		return eris.Wrap(errNotFound, selector.String())
	}
	if s.Output == outputTOML {
		return s.printTOML(list)
	}
	rows, values := make([][]string, len(list)), make([]any, len(list))
	for i, d := range list {
		rows[i], values[i] = []string{string(d.Kind), d.Name, fmt.Sprint(d.Revision)}, d
	}
	return s.print("KIND NAME REVISION", rows, values)
}

// readSelected reads the selected resources. For a named resource it reads only its shard, because the whole configuration has 256
// shards.
func (s *session) readSelected(ctx context.Context, c *keyvalue.Client, selector resource.Name) (set *resource.Set, err error) {
	if selector.Name != "" {
		return s.editor(c).ReadShardOf(ctx, selector)
	}
	set, _, err = s.editor(c).ReadAll(ctx)
	return set, err
}

// selector returns the kind and name to select; an empty kind or name selects all.
func (g *getCommand) selector() (n resource.Name, err error) {
	if g.Resource == "" {
		return n, nil
	}
	if strings.Contains(g.Resource, "/") {
		return parseName(g.Resource)
	}
	n.Kind = resource.Kind(g.Resource)
	return n, checkKind(n.Kind)
}

// selectResources returns the resources with the kind and name of the selector; empty fields match all.
func selectResources(set *resource.Set, selector resource.Name) (list []declaredResource) {
	for _, r := range set.All() {
		n, _ := resource.NameOf(r)
		if (selector.Kind == "" || selector.Kind == n.Kind) && (selector.Name == "" || selector.Name == n.Name) {
			list = append(list, declaredResource{Kind: n.Kind, Name: n.Name, Revision: set.ResourceRevision(n), Resource: r})
		}
	}
	return list
}

// printTOML writes the resources in the format that apply reads.
func (s *session) printTOML(list []declaredResource) (err error) {
	var sh resource.Shard
	for _, d := range list {
		sh.Put(d.Resource)
	}
	return toml.NewEncoder(s.Out).Encode(sh.File())
}
