// Package engine is what an agent says to the backend server beside it: a
// model engine or a plain service.
//
// [Client] is the whole of it. [HTTP] speaks the protocol of the stand-in in
// package standin; a site whose engines speak another protocol writes one more
// adapter and nothing else changes.
//
// The interface is built round what can be proved about an attempt, because
// the scheduler may start a request elsewhere, or tell its caller that it was
// not run, only with a proof:
//
//   - a nil error from [Client.Run] or [Client.Resume] proves that the engine
//     itself ended the attempt; [Outcome.End] says how;
//   - [ErrNeverSent] proves that the engine never saw the call;
//   - [ErrOutcomeUnknown] proves nothing: the attempt may have run, and may still run;
//   - [ErrDuplicate] says that the engine runs an attempt of this identity
//     already, so it is not over.
package engine
