// Package frontend takes callers' requests on an entry host and sends each straight to one endpoint. Agents beside the engines
// only load adapters; they are not in the path of a request.
package frontend
