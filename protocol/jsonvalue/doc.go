// Package jsonvalue decides whether the bytes of a body are one complete JSON value without keeping them.
package jsonvalue
