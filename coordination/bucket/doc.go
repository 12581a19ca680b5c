// Package bucket drives the ledger's buckets against the key-value service, the other entries and the agents.
package bucket
