// Package configuration keeps the operators' resources in force at a process and writes them for operators.
//
// A few entries per zone watch the key-value service; all other processes follow these entries.
// Each shard is applied in increasing revision order only, whatever the source.
package configuration
