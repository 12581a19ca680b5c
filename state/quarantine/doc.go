// Package quarantine finds prompt parts on which engines crash, from the requests that were in progress at engines that crashed.
package quarantine
