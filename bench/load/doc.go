// Package load starts the programs as separate processes on loopback and measures them: the latency and processor time that an entry
// adds to a call, and the cost of an agent that many entries poll for load reports.
package load
