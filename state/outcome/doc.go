// Package outcome names the possible outcomes of a request and the reasons of a refusal.
package outcome
