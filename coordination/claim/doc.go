// Package claim holds an agent's claim on its endpoint: compare-and-swap, lease, keep-alive and fencing number.
package claim
