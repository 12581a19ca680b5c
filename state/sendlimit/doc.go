// Package sendlimit bounds the requests to an endpoint that has named the rate of requests that it takes from all hosts together.
package sendlimit
