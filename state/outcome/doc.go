// Package outcome defines the outcomes of a request and the reasons for a refusal.
package outcome
