// Package jsonvalue reads bodies that are one JSON value to their end, or decides without keeping them whether they are complete.
package jsonvalue
