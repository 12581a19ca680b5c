// Package admission bounds the work that waits at an endpoint and shares it fairly between callers.
package admission
