// Package roster counts the entries of a deployment by records in the store, for entries that no agent tells their number.
package roster
