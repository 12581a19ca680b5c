// Package slots keeps track of the adapters in one engine's slots and picks the adapter to evict.
package slots
