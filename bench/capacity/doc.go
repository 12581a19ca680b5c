// Package capacity measures what the roles of a deployment cost against its size.
package capacity
