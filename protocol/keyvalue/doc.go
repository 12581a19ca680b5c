// Package keyvalue is the client of the platform's key-value service, which speaks the etcd v3 JSON gateway.
package keyvalue
