// Package inventory describes the endpoints of a deployment as discovery reports them.
package inventory
