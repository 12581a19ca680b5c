// Package mirror follows one prefix of a key-value store by watches and full reads, and passes the changes to a handler. A key
// never goes back to an older revision.
package mirror
