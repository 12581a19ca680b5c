// Package attempt is the state machine of one request at an entry. It decides which tries the request makes, verifies the
// frames that agents send back, and determines the outcome that the caller receives. A try is one run of the request at
// one endpoint. The package does no I/O: Attempt.Step takes an event and returns the commands to carry out.
package attempt
