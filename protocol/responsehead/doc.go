// Package responsehead decides whether the head of a response is one that HTTP allows, beyond what net/http checks.
package responsehead
