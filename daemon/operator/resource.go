package operator

import (
	"context"
	"fmt"
	"io"
	"os"
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
	var text []byte
	if path == "-" {
		text, err = io.ReadAll(s.In)
	} else {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, eris.Wrap(errUsage, err.Error())
	}
	if list, err = resource.ParseFile(string(text)); err != nil {
		return nil, eris.Wrap(errUsage, path+": "+err.Error())
	}
	return list, nil
}

// parseName reads Kind/name.
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
	File     string         `short:"f" required:"" help:"TOML file of resources; - reads standard input." placeholder:"FILE"`
	Revision *int64         `help:"Revision that the single resource of the file must have; 0 if it must be absent. Without it the revision is read just before the write." placeholder:"N"`
	Wait     *time.Duration `help:"Wait until the resources are in force at each live process, at most for this time." placeholder:"DURATION"`
}

// Help returns the details of the command.
func (*applyCommand) Help() string {
	return `Each resource is written by compare-and-swap on its revision. Unchanged resources are not written.
Unknown keys are refused. A conflict ends the command; earlier resources of the file stay written and are listed.

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
	c, done, err := s.client()
	if err != nil {
		return err
	}
	defer done()
	call, cancel := s.bound(ctx)
	defer cancel()
	var changes []change
	for _, r := range list {
		x, failed := a.write(call, s.editor(c), r)
		if failed != nil {
			err = failed
			break
		}
		changes = append(changes, x)
	}
	if printed := s.printChanges(changeHeading, changes); printed != nil && err == nil {
		err = printed
	}
	if err != nil || a.Wait == nil {
		return err
	}
	return s.await(ctx, c, changes, *a.Wait)
}

func (a *applyCommand) write(ctx context.Context, e *configuration.Editor, r any) (c change, err error) {
	n, _ := resource.NameOf(r)
	c = change{Kind: n.Kind, Name: n.Name, Action: actionWritten}
	if a.Revision != nil {
		c.Revision, err = e.Put(ctx, r, ident.Revision(*a.Revision))
		return c, err
	}
	old, at, err := e.Read(ctx, n)
	if err != nil {
		return c, err
	}
	if old != nil && configuration.Equal(old, r) {
		c.Action, c.Revision = actionUnchanged, at
		return c, nil
	}
	c.Revision, err = e.Put(ctx, r, at)
	return c, err
}

type deleteCommand struct {
	Resource string `arg:"" help:"Resource as Kind/name."`
	Revision *int64 `help:"Revision that the resource must have. Without it the revision is read just before the write." placeholder:"N"`
}

// Run deletes the resource.
func (d *deleteCommand) Run(ctx context.Context, s *session) (err error) {
	n, err := parseName(d.Resource)
	if err != nil {
		return err
	}
	c, done, err := s.client()
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel := s.bound(ctx)
	defer cancel()
	e := s.editor(c)
	_, at, err := e.Read(ctx, n)
	if err != nil {
		return err
	}
	if at == 0 {
		return eris.Wrap(errNotFound, n.String())
	}
	if d.Revision != nil {
		at = ident.Revision(*d.Revision)
	}
	at, err = e.Delete(ctx, n, at)
	if err != nil {
		return err
	}
	return s.printChanges(changeHeading, []change{{Kind: n.Kind, Name: n.Name, Action: actionDeleted, Revision: at}})
}

type getCommand struct {
	Resource string `arg:"" optional:"" help:"Kind, or a resource as Kind/name; all resources without it."`
}

// declared is the JSON form of a resource with its revision.
type declared struct {
	Kind     resource.Kind
	Name     string
	Revision ident.Revision
	Resource any
}

// Run shows the resources.
func (g *getCommand) Run(ctx context.Context, s *session) (err error) {
	want, err := g.selection()
	if err != nil {
		return err
	}
	c, done, err := s.client()
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel := s.bound(ctx)
	defer cancel()
	set, err := s.read(ctx, c, want)
	if err != nil {
		return err
	}
	list := selected(set, want)
	if want.Name != "" && len(list) == 0 {
		return eris.Wrap(errNotFound, want.String())
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

// read reads one shard for a named resource, because the whole configuration is 256 shards.
func (s *session) read(ctx context.Context, c *keyvalue.Client, want resource.Name) (set *resource.Set, err error) {
	if want.Name != "" {
		return s.editor(c).ReadOne(ctx, want)
	}
	set, _, err = s.editor(c).ReadAll(ctx)
	return set, err
}

func (g *getCommand) selection() (n resource.Name, err error) {
	if g.Resource == "" {
		return n, nil
	}
	if strings.Contains(g.Resource, "/") {
		return parseName(g.Resource)
	}
	n.Kind = resource.Kind(g.Resource)
	return n, checkKind(n.Kind)
}

// selected returns the resources that a partial name selects.
func selected(set *resource.Set, want resource.Name) (list []declared) {
	for _, r := range set.All() {
		n, _ := resource.NameOf(r)
		if (want.Kind == "" || want.Kind == n.Kind) && (want.Name == "" || want.Name == n.Name) {
			list = append(list, declared{Kind: n.Kind, Name: n.Name, Revision: set.ResourceRevision(n), Resource: r})
		}
	}
	return list
}

// printTOML writes the resources in the form that apply reads.
func (s *session) printTOML(list []declared) (err error) {
	var sh resource.Shard
	for _, d := range list {
		sh.Put(d.Resource)
	}
	return toml.NewEncoder(s.Out).Encode(sh.File())
}

type checkCommand struct {
	File string `arg:"" help:"TOML file of resources; - reads standard input."`
}

// Run checks the file.
func (c *checkCommand) Run(s *session) (err error) {
	list, err := s.readResources(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.Out, "%s: %d resources, all valid\n", c.File, len(list))
	return err
}
