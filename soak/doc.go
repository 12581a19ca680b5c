// Package soak runs seeded schedules of the real step functions as one system and judges them from the outside.
package soak
