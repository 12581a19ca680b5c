// Package ledger is the state machine of one bucket of idempotency records. The ledger stores which idempotency keys have
// been used and with which outcome, and it is divided into buckets. Each bucket is owned by one process at a time and is
// stored in the key-value service: one active value, replaced by compare-and-swap, and sealed segments with older records.
//
// Before a non-repeatable request is dispatched, its intent is recorded (Intend); afterwards its outcome is (Conclude). The
// package does no I/O, starts no goroutines and does not read the clock: Bucket.Step takes an event and returns the commands
// to carry out.
package ledger
