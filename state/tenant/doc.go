// Package tenant decides which tenant a request belongs to by the API key that it presents. It holds digests of the keys, never the keys.
package tenant
