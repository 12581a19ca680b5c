// Package keyvalue is a stand-in of the platform's key-value service with injected faults.
// It speaks the subset of the etcd v3 JSON gateway that the project uses and holds everything in memory.
package keyvalue
