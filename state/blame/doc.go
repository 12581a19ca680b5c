// Package blame finds what requests have in common that end the endpoints which run them, as docs/blame.md describes.
package blame
