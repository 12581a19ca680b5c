// Package report runs the benchmark's matrix and prints its tables, lines and plot.
package report
