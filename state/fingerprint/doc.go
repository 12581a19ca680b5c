// Package fingerprint identifies requests by their content, so that a request that comes again under another id is recognised.
package fingerprint
