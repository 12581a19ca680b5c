// Package node assembles entry and agent processes: each is a daemon with its key-value client, configuration and registry, and
// with the load permits and, in an entry, the ledger.
package node
