// Package retry limits the retries of one entry to a fraction of its new requests.
package retry
