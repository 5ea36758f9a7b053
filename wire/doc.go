// Package wire holds the messages between the processes of carawaypitch and the commands of the replicated state.
// The Go code is generated from the .proto files in this folder (see buf.yaml) and committed.
package wire
