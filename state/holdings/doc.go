// Package holdings decides which adapters one engine holds. It returns the load and unload orders that the engine's agent sends, one
// at a time.
package holdings
