// Package loadpermit limits the adapter loads of all engines together, because they share the weight store. One entry, the
// holder, holds the load budget under a lease, and agents request permits for their loads from it.
package loadpermit
