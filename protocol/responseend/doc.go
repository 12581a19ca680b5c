// Package responseend decides whether the end of its connection completes a response that has neither a length nor chunks.
package responseend
