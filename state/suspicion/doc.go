// Package suspicion finds requests that crash the endpoints that run them, from the requests that were in progress at endpoints that ended.
// Package quarantine finds the parts of prompts that different requests have in common.
package suspicion
