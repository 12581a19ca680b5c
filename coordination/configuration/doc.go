// Package configuration keeps the operators' resources in force at each process, and reads and writes them for operators.
//
// A few entries per availability zone watch the key-value service; all other processes poll these entries.
// Whatever the source, a process applies a shard only if its revision is newer than the one in force.
package configuration
