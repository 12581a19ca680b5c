// Package engine is the client of the HTTP API of model engines and of plain services.
package engine
