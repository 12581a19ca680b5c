// Package mirror keeps a copy of a part of a key-value store by watching it. The copy never goes back to an older revision.
package mirror
