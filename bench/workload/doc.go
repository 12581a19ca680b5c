// Package workload generates the arrivals of the benchmark from fixed seeds.
package workload
