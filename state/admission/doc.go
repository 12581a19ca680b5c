// Package admission implements the queue of an endpoint: it bounds the number of waiting tries and shares the endpoint fairly
// between callers.
package admission
