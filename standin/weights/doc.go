// Package weights is a stand-in for the rate-limited store of adapter weights.
package weights
