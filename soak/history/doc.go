// Package history records the events of a schedule by subject, for reports and for the comparison of two runs.
package history
