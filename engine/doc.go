// Package engine defines how an agent talks to its backend server: a model
// engine or a plain service.
//
// [Client] is the interface. [HTTP] implements it for the protocol of the
// stand-in in package standin. A site whose engines use another protocol adds
// an adapter that implements [Client]; nothing else changes.
//
// The interface separates what is proven about an attempt from what is not,
// because the scheduler needs a proof before it starts a request elsewhere or
// reports to the caller that the request was not run:
//
//   - a nil error from [Client.Run] or [Client.Resume] proves that the engine
//     itself ended the attempt; [Outcome.End] states how;
//   - [ErrNeverSent] proves that the engine never received the call;
//   - [ErrOutcomeUnknown] proves nothing: the attempt may have run, and may
//     still be running;
//   - [ErrDuplicate] means that the engine is already running an attempt with
//     this ID, so the attempt is not over.
package engine
