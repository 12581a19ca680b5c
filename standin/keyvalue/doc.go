// Package keyvalue is a stand-in for the platform's key-value service that can inject faults.
// It speaks the subset of the etcd v3 JSON gateway that the project uses and stores everything in memory.
package keyvalue
