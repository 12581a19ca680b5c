// Package holdings decides which adapters one engine holds: the orders that its agent sends, one at a time.
package holdings
