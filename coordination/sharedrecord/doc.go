// Package sharedrecord keeps records in the key-value store that all entries come to by themselves: the first one writes each, and none that an
// entry knows is lost with the store's last writes.
package sharedrecord
