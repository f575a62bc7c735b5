// Package messenger holds the wire types and drpc services that the system's
// own processes exchange. All but this file is generated from messenger.proto.
package messenger

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. messenger.proto
