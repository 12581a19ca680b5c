// Package node assembles whole processes: a daemon with its key-value client, configuration, registry, ledger and permits.
package node
