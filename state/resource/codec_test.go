package resource

import (
	"bytes"
	"strings"
	"testing"

	"shallotring.dev/state/ident"
)

const digest = "00000000000000000000000000000000000000000000000000000000000000aa"

const example = `
[[Adapter]]
Name = "core-log"
BaseModel = "base"
Default = "v1"

[[Adapter.Versions]]
Version = "v1"
Path = "core-log/v1"
Digest = "` + digest + `"

[[Endpoint]]
Name = "engine-1"
Kind = "Engine"
BaseModel = "base"
Host = "h1"
Zone = "z1"
ChecksFencing = true
Slots = 4
BatchSize = 8

[[Route]]
Name = "custody"
Service = "custody"
PathPrefix = "/"
NonRepeatable = true
Timeout = "1.5s"

[[Policy]]
Name = "default"
LoadStallWeight = 1.0
BatchEfficiencyWeight = 0.5
LoadsPerSecond = 4.0
LoadsInFlight = 8
QueuePerEndpoint = 64
RetryRatio = 0.1
KeyRetention = "24h"

[[Caller]]
Name = "crew"
TokenSHA256 = "` + digest + `"
`

// TestParseFile guards against a misspelt key that is silently ignored, and against a resource that is accepted without
// validation.
func TestParseFile(t *testing.T) {
	list, err := ParseFile(example)
	if err != nil || len(list) != 5 {
		t.Fatalf("%d resources, %v", len(list), err)
	}
	for name, x := range map[string]struct{ old, new, want string }{
		"unknown key":     {"Slots = 4", "Slot = 4", "Endpoint.Slot"},
		"lower case key":  {"Slots = 4", "slots = 4", "Endpoint.slots"},
		"unknown kind":    {"[[Caller]]", "[[Client]]", "Client"},
		"lower case kind": {"[[Caller]]", "[[caller]]", "caller"},
		"value too small": {"BatchSize = 8", "BatchSize = 0", "BatchSize"},
		"wrong type":      {"BatchSize = 8", `BatchSize = "8"`, "BatchSize"},
		"malformed TOML":  {"[[Caller]]", "[[Caller", "line"},
		"declared twice":  {"[[Caller]]", "[[Caller]]\nName = \"crew\"\nTokenSHA256 = \"" + digest + "\"\n[[Caller]]", "twice"},
	} {
		if _, err := ParseFile(strings.Replace(example, x.old, x.new, 1)); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s: %v does not name %q", name, err, x.want)
		}
	}
}

// TestAdapterSlotsFitTheMemory guards against an engine that is ordered to load more adapters than its memory holds because it has slots for them,
// and against the declaration of one that could hold none.
func TestAdapterSlotsFitTheMemory(t *testing.T) {
	for _, c := range []struct {
		name, fields string
		want         int
		invalid      string
	}{
		{"not stated", "", 4, ""},
		{"fewer than slots", "MemoryMegabytes = 1000\nBaseModelMegabytes = 900\nAdapterMegabytes = 40", 2, ""},
		{"more than slots", "MemoryMegabytes = 1000\nBaseModelMegabytes = 100\nAdapterMegabytes = 40.5", 4, ""},
		{"no size of the base model", "MemoryMegabytes = 100\nAdapterMegabytes = 40", 2, ""},
		{"no adapter fits", "MemoryMegabytes = 1000\nBaseModelMegabytes = 980\nAdapterMegabytes = 40", 0, "holds no adapter"},
		{"the base model does not fit", "MemoryMegabytes = 1000\nBaseModelMegabytes = 1100\nAdapterMegabytes = 40", 0, "holds no adapter"},
		{"no size of adapters", "MemoryMegabytes = 1000\nBaseModelMegabytes = 900", 0, "AdapterMegabytes"},
		{"sizes without memory", "AdapterMegabytes = 40", 0, "MemoryMegabytes"},
		{"negative", "MemoryMegabytes = -1", 0, "negative"},
	} {
		list, err := ParseFile(strings.Replace(example, "Slots = 4", "Slots = 4\n"+c.fields, 1))
		if c.invalid != "" {
			if err == nil || !strings.Contains(err.Error(), c.invalid) {
				t.Errorf("%s: error %v does not name %q", c.name, err, c.invalid)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		for _, r := range list {
			if e, ok := r.(*Endpoint); ok && e.AdapterSlots() != c.want {
				t.Errorf("%s: %d adapters, want %d", c.name, e.AdapterSlots(), c.want)
			}
		}
	}
}

// exampleShard returns the stored form of a shard with one resource of the example, which was last changed at revision 7.
func exampleShard(tb testing.TB, n Name) (number int, value []byte) {
	list, err := ParseFile(example)
	if err != nil {
		tb.Fatal(err)
	}
	sh := &Shard{WriteID: "w", Revisions: map[string]ident.Revision{n.String(): 7}}
	for _, r := range list {
		if x, _ := NameOf(r); x == n {
			sh.Put(r)
		}
	}
	sh.Revisions = map[string]ident.Revision{n.String(): 7}
	value, err = sh.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	return n.Shard(), value
}

// TestDecodeShard guards against accepting a stored shard with a resource that belongs to another shard or is stored twice.
func TestDecodeShard(t *testing.T) {
	number, value := exampleShard(t, Name{KindAdapter, "core-log"})
	sh, err := DecodeShard(number, value)
	if err != nil || len(sh.Adapters) != 1 || sh.Revision(Name{KindAdapter, "core-log"}, 9) != 7 {
		t.Fatalf("%+v, %v", sh, err)
	}
	if _, err = DecodeShard((number+1)%ShardCount, value); err == nil {
		t.Error("a resource of another shard was accepted")
	}
	sh.Adapters = append(sh.Adapters, sh.Adapters[0])
	if value, err = sh.Encode(); err != nil {
		t.Fatal(err)
	}
	if _, err = DecodeShard(number, value); err == nil {
		t.Error("a resource that is stored twice was accepted")
	}
}

// FuzzParseFile guards against accepting an invalid resource from any text.
func FuzzParseFile(f *testing.F) {
	f.Add(example)
	f.Add("[[Adapter]]\nName = 1")
	f.Add("Adapter = 1")
	f.Add("[[Route]]\nTimeout = \"x\"")
	f.Fuzz(func(t *testing.T, text string) {
		list, err := ParseFile(text)
		if err != nil {
			return
		}
		for _, r := range list {
			if err = Validate(r); err != nil {
				t.Errorf("accepted an invalid resource: %v", err)
			}
		}
	})
}

// FuzzDecodeShard guards against a shard that is accepted but changes when it is stored and read again.
func FuzzDecodeShard(f *testing.F) {
	for _, n := range []Name{{KindAdapter, "core-log"}, {KindRoute, "custody"}, {KindCaller, "crew"}} {
		number, value := exampleShard(f, n)
		f.Add(number, value)
	}
	f.Add(0, []byte("{}"))
	f.Add(0, []byte(`{"Adapters":[{}]}`))
	f.Fuzz(func(t *testing.T, number int, value []byte) {
		sh, err := DecodeShard(number, value)
		if err != nil {
			return
		}
		first, err := sh.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeShard(number, first)
		if err != nil {
			t.Fatalf("%s does not decode again: %v", first, err)
		}
		if second, err := again.Encode(); err != nil || !bytes.Equal(first, second) {
			t.Errorf("%s became %s, %v", first, second, err)
		}
	})
}
