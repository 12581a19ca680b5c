package jsonvalue

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"unsafe"
)

func scan(text string, readBytes int) *Scanner {
	s := &Scanner{}
	for rest := text; rest != ""; {
		n := min(readBytes, len(rest))
		s.Write([]byte(rest[:n]))
		rest = rest[n:]
	}
	return s
}

// TestScanner guards against taking an incomplete value for a complete one, and the reverse, wherever it is cut off.
func TestScanner(t *testing.T) {
	for _, text := range []string{
		"", " ", "{}", "[]", " \t\r\n{ } \n", "{}{}", "{} x", "[1,2]", "[1 2]", "[,1]", "[1,]", `{"a":1}`, `{"a":1,}`, `{"a" 1}`, `{,}`, `{1:2}`, `{"a":}`, "]", "}", "[}", "{]",
		`{"a":[{"b":[]},{}],"c":{"d":[[]]}}`, `[{"a":1},[2],{"b":{}}]`, `{"a":[1,2}`, `[{"a":1]`,
		`"a"`, `"a`, `"\"\\\/\b\f\n\r\t"`, `"\x"`, `"\u00e9\uABcd"`, `"\u00g0"`, `"\u00"`, "\"a\nb\"", "\"\x7f\xff\"", "\"\x00\"", `"a""b"`, `["a","b"]`, `{"\u0061\"":"b"}`,
		"true", "false", "null", "nul", "nulls", "True", "[true,false,null]", "truefalse",
		"0", "-0", "00", "01", "-", "-a", "1", "12.5", "1.", ".5", "1.e5", "1e5", "1E+5", "1e-5", "1e", "1e+", "1e5.5", "1e5e5", "0e1", "0.0", "1.2.3", "+1", "1 ", "1 2", "--1", "[0,-1.5e3]", "[01]", `{"a":0}`, "0x",
		"\ufeff{}", "NaN", "'a'", "//", "[1]//", strings.Repeat("[", 65) + strings.Repeat("]", 65), strings.Repeat(`{"a":[`, 70) + strings.Repeat("]}", 70),
	} {
		for cut := range len(text) + 1 {
			part := text[:cut]
			for _, readBytes := range []int{1, 3, len(text) + 1} {
				if got, want := scan(part, readBytes).Complete(), json.Valid([]byte(part)); got != want {
					t.Errorf("%q in reads of %d bytes: complete %t, want %t", part, readBytes, got, want)
				}
			}
		}
	}
}

// TestDepth guards against a value whose depth grows the memory of the scanner without bound, and against a limit other than that of
// encoding/json.
func TestDepth(t *testing.T) {
	for _, depth := range []int{maxDepth - 1, maxDepth, maxDepth + 1, 1 << 20} {
		for open, end := range map[string]string{"[": "]", `{"a":`: "}"} {
			text := strings.Repeat(open, depth) + "1" + strings.Repeat(end, depth)
			s := scan(text, 4096)
			if want := json.Valid([]byte(text)); s.Complete() != want || want != (depth <= maxDepth) {
				t.Errorf("%d times %s: complete %t, want %t", depth, open, s.Complete(), want)
			}
			if size := int(unsafe.Sizeof(*s)) + 8*cap(s.objects); size > 2560 {
				t.Errorf("%d times %s: the scanner has %d bytes", depth, open, size)
			}
		}
	}
}

// FuzzScanner guards against a difference to encoding/json.Valid.
func FuzzScanner(f *testing.F) {
	f.Add([]byte(`{"a":[1,-2.5e+3,"\u00e9\n",true,false,null,{}]} `), 3)
	f.Add([]byte(`[[],{"b":"\\"},0.1]`), 1)
	f.Fuzz(func(t *testing.T, text []byte, readBytes int) {
		readBytes = min(max(readBytes, 1), 1<<20)
		if got, want := scan(string(text), readBytes).Complete(), json.Valid(text); got != want {
			t.Errorf("%q in reads of %d bytes: complete %t, want %t", text, readBytes, got, want)
		}
	})
}

// benchmarkBodies returns bodies of about 1 MiB.
func benchmarkBodies() map[string][]byte {
	completion := `{"id":"c-1","object":"text_completion","choices":[{"index":0,"text":"` + strings.Repeat("some words of text\\n", 50) + `"}],"usage":{"prompt_tokens":31,"completion_tokens":512}}`
	numbers := "[" + strings.Repeat("-0.0123456,", 90) + "1]"
	body := func(element string) []byte {
		return []byte("[" + strings.TrimSuffix(strings.Repeat(element+",", 1<<20/len(element)), ",") + "]")
	}
	return map[string][]byte{
		"Completions": body(completion), "Numbers": body(numbers), "Structure": body(`{"a":[1,{"b":true}]}`), "String": []byte(`"` + strings.Repeat("x", 1<<20) + `"`),
	}
}

func BenchmarkScanner(b *testing.B) {
	for name, body := range benchmarkBodies() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(body)))
			for b.Loop() {
				s := Scanner{}
				for part := range slices.Chunk(body, 32<<10) {
					s.Write(part)
				}
				if !s.Complete() {
					b.Fatal("not complete")
				}
			}
		})
	}
}

func BenchmarkValid(b *testing.B) {
	for name, body := range benchmarkBodies() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(body)))
			for b.Loop() {
				if !json.Valid(body) {
					b.Fatal("not valid")
				}
			}
		})
	}
}
