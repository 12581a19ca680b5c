// Package ledger holds the idempotency records of one bucket as a step function without I/O, goroutines or clock reads.
package ledger
