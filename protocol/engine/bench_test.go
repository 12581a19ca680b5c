package engine

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkForwardBody forwards JSON that ends with its connection, and the same without the check of its end.
func BenchmarkForwardBody(b *testing.B) {
	element := `{"index":0,"text":"` + strings.Repeat("some words of text\\n", 50) + `"},`
	for _, size := range []int{1 << 20, 4 << 20, 16 << 20} {
		body := []byte("[" + strings.Repeat(element, size/len(element)) + "1]")
		for _, check := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d MiB, check %t", size>>20, check), func(b *testing.B) {
				b.ReportAllocs()
				b.SetBytes(int64(len(body)))
				for b.Loop() {
					_, err := forwardBody(bytes.NewReader(body), ResponseHead{Status: http.StatusOK}, &usageReader{checkJSON: check}, func(ResponseHead, []byte) error { return nil })
					if err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
