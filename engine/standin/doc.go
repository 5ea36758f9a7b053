// Package standin is a small stand-in of a backend server, for trials and
// tests: a model engine or a plain service that speaks the protocol of package
// engine, with settable speed, lag and faults.
//
// The model engine batches continuously and knows no priorities: it admits
// streams in the order of their arrival, as far as its slots and KV memory
// reach. A step computes one chunk of prompts and one token of each decoding
// stream, and its duration follows from [Options]. The text of an answer
// depends on model, prompt and position alone, so a stream that goes on at
// another engine continues with the same words.
//
// The plain service counts how often each Idempotency-Key ran and does nothing
// against a second run, so that a test sees one.
//
// All time comes from package time and no goroutine polls, so a [Server] works
// under testing/synctest, with package network/memory in place of
// sockets.
package standin
