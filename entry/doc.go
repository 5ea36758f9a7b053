// Package entry implements the entry daemon, which accepts calls from callers. It owns a request from its arrival to
// its answer.
//
// The callers' HTTP server, the scheduler, the link to each agent and the session with control run in goroutines of
// their own, connected by bounded rings. Only the scheduler goroutine accesses sched.Scheduler, and it never blocks: a
// message that finds a full ring is lost, which the scheduler tolerates, and each caller has a bounded buffer for
// events it has not read yet.
//
// # Keyed requests
//
// A request with an Idempotency-Key has an operation record at control, committed before anything is dispatched. Its
// request ID is derived from the organisation and the key, so that successive owners of the record use the same ID for
// their attempts, and a new owner can ask for proof that the attempts of the previous owner have ended.
//
// Within one entry at most one call works on a key at a time, see inflightKey. Other calls with the same key wait for
// it.
//
// The "ran" value of a failure is about the operation, not the call. A call with a key that is refused before its
// record could be read may be a resend of one that ran at another entry, so its "ran" is unknown.
package entry
