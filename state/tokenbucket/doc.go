// Package tokenbucket is a token bucket of fractional units whose rate and capacity may change, and which takes requests that are larger than
// its capacity.
package tokenbucket
