// Package call describes one request of a caller for entries that send straight to the endpoints, without an agent in the path.
package call
