package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// Fingerprint is the first half of a SHA-256 digest of a request's content; no caller can choose content with the fingerprint of another request.
type Fingerprint [sha256.Size / 2]byte

// Of returns the fingerprint of a request. The target includes the query, and caller is empty if nothing identifies the caller.
func Of(method, host, target string, caller ident.Caller, body []byte) (p Fingerprint) {
	return digest([]byte(method), []byte(host), []byte(target), []byte(caller), body)
}

// With returns the fingerprint of a request that also has other fields in common.
func (p Fingerprint) With(fields ...string) Fingerprint {
	list := [][]byte{p[:]}
	for _, field := range fields {
		list = append(list, []byte(field))
	}
	return digest(list...)
}

func digest(fields ...[]byte) (p Fingerprint) {
	h := sha256.New()
	var length [8]byte
	// Each field is preceded by its length, since otherwise one field could continue in the next.
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write(field)
	}
	copy(p[:], h.Sum(nil))
	return p
}

// Parse returns the fingerprint with a text in hexadecimal.
func Parse(text string) (p Fingerprint, err error) {
	return p, p.UnmarshalText([]byte(text))
}

// String returns the fingerprint in hexadecimal.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:]) }

// MarshalText returns the fingerprint in hexadecimal; it never fails.
func (p Fingerprint) MarshalText() (text []byte, err error) {
	return []byte(p.String()), nil
}

// UnmarshalText sets the fingerprint from its text.
func (p *Fingerprint) UnmarshalText(text []byte) (err error) {
	defer func() { err = eris.Wrapf(err, "parse fingerprint %.40q", text) }()
	if len(text) != hex.EncodedLen(len(p)) {
		return eris.Errorf("%d characters, want %d", len(text), hex.EncodedLen(len(p)))
	}
	_, err = hex.Decode(p[:], text)
	return err
}
