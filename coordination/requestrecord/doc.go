// Package requestrecord keeps in the key-value store which requests crash endpoints: processes that start later know of them, one entry at a time
// takes a probation, operators can see and lift them, and deployments without agents share the evidence.
package requestrecord
