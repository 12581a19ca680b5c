// Package call describes one request of a caller as the direct path needs it.
package call
