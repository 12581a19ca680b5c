// Package store is a fake of the key-value service on a simulated clock, with outages, delays and lost responses.
package store
