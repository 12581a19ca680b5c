// Package policy implements the policies that the benchmark compares: the project's own, the baselines and a clairvoyant one that
// knows all future requests.
package policy
