// Package hosts is a stand-in for the platform's list of live and leaving hosts.
package hosts
