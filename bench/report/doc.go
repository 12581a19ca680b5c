// Package report runs every workload under every policy and load and prints the tables, targets, result lines and plot.
package report
