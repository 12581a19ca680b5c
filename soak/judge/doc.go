// Package judge checks the guarantees of the design from the journals of the endpoints and the callers' view only.
package judge
