// Package openai defines the JSON types of the OpenAI-compatible API for callers and validates requests; fields that it does not
// know stay unchanged.
package openai
