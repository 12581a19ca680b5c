// Package quarantinerecord keeps the prompt parts in quarantine in the key-value store: processes that start later know of them, and operators can
// see and lift them.
package quarantinerecord
