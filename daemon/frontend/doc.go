// Package frontend accepts callers' requests on an entry host and sends each of them directly to one endpoint. The agents beside the
// engines only load adapters and report the state of their engine; requests do not pass through them.
package frontend
