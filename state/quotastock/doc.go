// Package quotastock holds the usage that an entry has been granted for a tenant and has not used yet.
package quotastock
