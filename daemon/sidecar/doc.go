// Package sidecar runs beside an engine that receives requests directly from the entries. It is the only sender of load and unload orders
// to the engine, and it reports to the entries what the engine holds.
package sidecar
