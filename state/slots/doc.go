// Package slots tracks the adapters in the slots of one engine and selects the adapter to evict.
package slots
