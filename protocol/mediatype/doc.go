// Package mediatype decides by its Content-Type headers how a body is read.
package mediatype
