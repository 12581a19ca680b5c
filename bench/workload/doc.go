// Package workload describes the workloads of the benchmark and generates their requests from a seed.
package workload
