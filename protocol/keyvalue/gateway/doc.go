// Package gateway defines the messages of the etcd v3 JSON gateway that the project uses.
// Field names are those of the API; 64-bit numbers are strings and bytes are base64, as the gateway writes them.
package gateway
