// Package backend is a fake of engines and plain services that keeps a journal of what ran.
package backend
