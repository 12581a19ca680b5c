// Package service is a stand-in for a plain service (an HTTP service without a model, such as sample custody) that records
// each call that it executes in a journal.
package service
