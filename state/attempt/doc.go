// Package attempt decides the course of one request at an entry: its tries, the checks of their frames and its outcome.
package attempt
