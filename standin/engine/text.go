package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// digestDigits is the number of hexadecimal digits of the prompt digest in an answer.
const digestDigits = 16

// Digest returns the digest that the stand-in's weights at the path have.
func Digest(path string) string {
	h := sha256.Sum256([]byte(path))
	return hex.EncodeToString(h[:])
}

// PromptDigest returns the part of the prompt's SHA-256 that answers start with.
func PromptDigest(prompt string) string {
	h := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(h[:])[:digestDigits]
}

// Tokens returns the tokens of the answer: the model, the prompt digest, then filler words up to the limit.
func Tokens(model, prompt string, limit int) (tokens []string) {
	tokens = append(tokens, model, " "+PromptDigest(prompt))
	for i := len(tokens); i < limit; i++ {
		tokens = append(tokens, fmt.Sprintf(" word%d", i))
	}
	return tokens
}

func countTokens(prompt string) int { return len(strings.Fields(prompt)) }
