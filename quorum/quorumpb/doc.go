// Package quorumpb holds the protobuf messages of the replicated log. The
// generated code is committed; regenerate it with go generate.
package quorumpb

//go:generate buf generate
