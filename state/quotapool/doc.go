// Package quotapool holds the usage limits of tenants at the process that grants usage to all entries: one token bucket per tenant in use.
package quotapool
