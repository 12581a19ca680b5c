package jsonvalue

import (
	"encoding/json"
	"io"
)

// Decode reads a body to its end and decodes it. A json.Decoder stops after the value and does not notice that the body was broken off.
func Decode(body io.Reader, into any) (err error) {
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}
