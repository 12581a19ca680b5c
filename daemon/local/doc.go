// Package local runs a whole deployment in one process: an entry, its agents and embedded stand-ins for the key-value service,
// the engines, the weight store and a plain service.
package local
