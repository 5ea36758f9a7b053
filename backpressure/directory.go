package backpressure

import "time"

// minProposalInterval is the least time between two proposals about one server.
const minProposalInterval = time.Second

// Record is the advice that the directory stores for a server. The zero value means none.
type Record struct {
	Rate     Rate
	Draining bool
	Version  uint64 // assigned by the directory
}

// isSet reports whether the record contains any advice.
func (r Record) isSet() bool { return r.Rate.Limited || r.Draining }

// equalAdvice reports whether two records contain the same advice, regardless of their versions.
func (r Record) equalAdvice(other Record) bool {
	return r.Rate == other.Rate && r.Draining == other.Draining
}

// DirectorySync reconciles the advice that one sender receives from a server with the record that the directory stores
// for that server. Through the directory, senders share advice with each other and with the processes that replace
// them. It isn't safe for concurrent use.
type DirectorySync struct {
	record     Record
	own        Record // latest advice to this sender; once set, Draining stays set
	ownIsNewer bool   // own is newer than record
	proposing  bool
	nextDue    time.Time // earliest time of the next proposal
}

// Observe applies a response to this sender; limit is the rate limit that the sender follows after it. A response that
// neither names a rate nor ended a limit leaves the rate unchanged.
func (d *DirectorySync) Observe(o Observation, limit Rate) {
	if o.Rate.Limited || !limit.Limited {
		d.own.Rate, d.ownIsNewer = o.Rate, true
	}
	if o.Draining {
		d.own.Draining, d.ownIsNewer = true, true
	}
}

// ApplyRecord takes a record of the directory. If it contains new advice, ApplyRecord returns that advice as an
// observation for the sender's limiter, and true. An empty record gives no observation: whether a rate limit has ended
// follows from the responses to this sender.
func (d *DirectorySync) ApplyRecord(now time.Time, record Record) (observation Observation, isNew bool) {
	if record.Version == d.record.Version {
		return Observation{}, false
	}
	d.record, d.ownIsNewer = record, false
	if !record.isSet() {
		return Observation{}, false
	}
	d.own.Draining = d.own.Draining || record.Draining
	return Observation{
		Advice: Advice{Rate: record.Rate, Draining: record.Draining},
		Route:  RouteDirectory, SentAt: now, ReceivedAt: now,
	}, true
}

// NextProposal returns the record that the directory should store, and false if nothing has to be proposed. The caller
// calls ProposalEnded for each proposal. The directory is expected to reject a proposal whose Version is older than
// that of its record.
func (d *DirectorySync) NextProposal(now time.Time) (Record, bool) {
	if !d.ownIsNewer || d.proposing || d.own.equalAdvice(d.record) || now.Before(d.nextDue) {
		return Record{}, false
	}
	d.proposing = true
	d.nextDue = now.Add(minProposalInterval)
	return Record{Rate: d.own.Rate, Draining: d.own.Draining, Version: d.record.Version}, true
}

// ProposalEnded marks the outstanding proposal as ended, whatever its outcome.
func (d *DirectorySync) ProposalEnded() { d.proposing = false }
