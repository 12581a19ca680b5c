// Package wire defines the protobuf messages and twirp services between the project's processes.
package wire

//go:generate protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative wire.proto
