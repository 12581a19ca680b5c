// Package frame reads and writes the stream of frames that answers one try.
package frame
