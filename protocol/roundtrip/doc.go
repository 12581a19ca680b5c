// Package roundtrip lets clients of net/http reject broken responses.
package roundtrip
