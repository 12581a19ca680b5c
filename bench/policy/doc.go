// Package policy holds the policies that the benchmark compares: the project's own, the baselines and the clairvoyant bound.
package policy
