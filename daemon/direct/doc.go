// Package direct assembles the programs that run on the users' platform: an entry that sends requests directly to the endpoints, and
// an agent that only sends load and unload orders to its engine.
package direct
