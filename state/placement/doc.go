// Package placement decides at which endpoint a request runs.
package placement
