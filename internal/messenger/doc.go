// Package messenger defines the wire types and drpc services of the system's processes.
// go generate creates them from messenger.proto and peers.proto.
package messenger

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. messenger.proto peers.proto
