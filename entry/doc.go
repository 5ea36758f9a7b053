// Package entry is the daemon that callers talk to. It owns a request from its arrival to its answer.
//
// Its duties are goroutines of their own: the callers' HTTP, the scheduler, a link to each agent, the session with
// control. They are joined by bounded rings. Only the scheduler duty touches sched.Scheduler, and nothing that it does
// waits: a message that finds a full ring is lost, which the scheduler expects, and a caller that reads slowly has a
// bounded buffer of its own.
//
// # Keyed requests
//
// A request with an Idempotency-Key has an operation record at control, committed before anything is dispatched. Its
// request identity is derived from the organisation and the key, so that all owners of the record, one after another,
// give their attempts the same name, and a new owner can ask for the proof that the old one's are over.
//
// Within one entry at most one call works on a key at a time, see flight. Another call with the same key waits for it.
//
// What a failure says of having run is about the operation, not the call. A call with a key that is refused before its
// record could be read may be the resend of one that ran at another entry, so its "ran" is unknown.
package entry
