// Package hosts is a stand-in of the platform's list of live and leaving hosts.
package hosts
