// Package sidecar runs beside an engine that takes requests directly: it is the only one that orders the engine, and it tells
// the entries what the engine holds.
package sidecar
