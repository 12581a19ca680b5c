package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// promptDigestDigits is the number of hexadecimal digits of the prompt digest in a response.
const promptDigestDigits = 16

// Digest returns the digest of the stand-in's weights at the path.
func Digest(path string) string {
	h := sha256.Sum256([]byte(path))
	return hex.EncodeToString(h[:])
}

// PromptDigest returns the prefix of the prompt's SHA-256 that each response contains.
func PromptDigest(prompt string) string {
	h := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(h[:])[:promptDigestDigits]
}

// Tokens returns the tokens of a response: the model, the prompt digest, then filler words up to the limit.
func Tokens(model, prompt string, limit int) (tokens []string) {
	tokens = append(tokens, model, " "+PromptDigest(prompt))
	for i := len(tokens); i < limit; i++ {
		tokens = append(tokens, fmt.Sprintf(" word%d", i))
	}
	return tokens
}

func countTokens(prompt string) int { return len(strings.Fields(prompt)) }
