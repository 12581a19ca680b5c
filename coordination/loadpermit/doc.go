// Package loadpermit shares the weight store's load budget: one entry holds it under a lease and agents ask it for permits.
package loadpermit
