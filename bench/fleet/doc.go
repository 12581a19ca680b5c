// Package fleet simulates the deployment that the benchmark measures: entries, agents with their engines, and the weight store
// from which engines load adapters. Everything runs on one simulated clock, so that a run depends on its seed only. A Policy
// makes the decisions that are compared.
package fleet
