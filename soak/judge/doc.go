// Package judge checks the guarantees of the design during a simulated schedule of the soak. It uses only the journals of the
// endpoints, the responses that callers receive and what processes report.
package judge
