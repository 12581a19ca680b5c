// Package rawserver plays servers whose responses no HTTP library would send.
package rawserver
