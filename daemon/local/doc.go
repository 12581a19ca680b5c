// Package local runs a whole deployment in one process, with embedded stand-ins of the platform.
package local
