// Package admin serves the admin port: metrics, health and readiness.
package admin
