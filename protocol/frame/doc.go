// Package frame reads and writes the stream of frames that is the response to one try.
package frame
