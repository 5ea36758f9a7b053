// Package standin simulates a backend server for trials and tests: a model engine or a plain
// service that implements the protocol of package engine, with configurable speed, lag and
// faults.
//
// The model engine uses continuous batching without priorities: it admits streams in order of
// arrival, as far as its slots and KV memory allow. A step computes one chunk of prompts and
// one token of each decoding stream; its duration follows from [Options]. The text of an answer
// depends only on model, prompt and position, so a stream that is resumed on another engine
// continues with the same text.
//
// The plain service counts how often each Idempotency-Key ran and does not prevent a second
// run, so that a test can detect one.
//
// All time comes from package time and no goroutine polls, so a [Server] works under
// testing/synctest, with package network/memory in place of sockets.
package standin
