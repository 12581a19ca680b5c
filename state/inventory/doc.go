// Package inventory describes the endpoints of a deployment as service discovery reports them.
package inventory
