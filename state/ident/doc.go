// Package ident defines the named types for ids and units that the other packages share.
package ident
