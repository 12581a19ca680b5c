// Package store is a fake of the key-value service with outages, delays and lost answers on a simulated clock.
package store
