// Package service is a stand-in for a plain service (an HTTP service without a model) that records each call that it executes
// in a journal.
package service
