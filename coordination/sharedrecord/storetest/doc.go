// Package storetest has a store in memory for tests of shared records.
package storetest
