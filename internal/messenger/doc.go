// Package messenger holds the wire types and drpc services that the system's
// own processes exchange, made from messenger.proto and peers.proto by go generate.
package messenger

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. messenger.proto peers.proto
