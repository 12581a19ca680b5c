// Package engine is a stand-in for a model engine with LoRA adapters, continuous batching and an OpenAI-compatible API.
package engine
