// Package quorum is a pure replicated log after Raft.
package quorum
