// Package bucket runs the buckets of the ledger and performs their calls to the key-value service, the other entries and
// the agents.
//
// The ledger records the intent and the outcome of tries under the idempotency key of their request. Its records are
// spread over Count buckets by caller and key; each bucket is owned by one entry at a time.
package bucket
