// Package peerpb holds the protobuf messages of the protocol between
// instances. peer.pb.go is generated and committed; regenerate it with
// go generate after installing protoc and protoc-gen-go.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
