// Package configuration keeps the operators' resources in force at each process, and reads and writes them for operators.
//
// A few entries per availability zone watch the key-value service, called "the service" in this package; all other processes
// poll these entries. The last contact of a process is the newest time at which it knows, by itself or from a peer, that the
// service responded.
//
// Whatever the source, a process applies a shard only if its revision is newer than the one in force.
package configuration
