// Package resource defines the resources that operators declare, with their validation.
package resource
