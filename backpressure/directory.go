package backpressure

import "time"

// proposeGap is the least time between two proposals about one server.
const proposeGap = time.Second

// Record is what the directory has of a server's advice. The zero value is nothing.
type Record struct {
	Rate     Rate
	Draining bool
	Version  uint64 // that the directory gave it
}

// asks tells whether the record holds anything.
func (r Record) asks() bool { return r.Rate.Limited || r.Draining }

// says tells whether two records hold the same, whatever their versions.
func (r Record) says(other Record) bool { return r.Rate == other.Rate && r.Draining == other.Draining }

// DirectorySync joins what a sender hears of a server with what the directory has of it, so that senders know of each other's words and a
// successor knows its predecessor's. It isn't safe for concurrent use.
type DirectorySync struct {
	record    Record
	own       Record // what answers to this sender said last; that it leaves is never taken back
	isNews    bool   // own was heard after the record was
	proposing bool
	next      time.Time // of the next proposal
}

// Observe takes an answer to this sender; limit is what the sender goes by after it. An answer that neither names a rate nor ended one
// says nothing.
func (d *DirectorySync) Observe(o Observation, limit Rate) {
	if o.Rate.Limited || !limit.Limited {
		d.own.Rate, d.isNews = o.Rate, true
	}
	if o.Draining {
		d.own.Draining, d.isNews = true, true
	}
}

// ApplyRecord takes the directory's record, and returns the word that it stands for. That the directory has nothing any more is no word:
// this sender's own answers show whether a rate has ended.
func (d *DirectorySync) ApplyRecord(now time.Time, record Record) (word Observation, isNews bool) {
	if record.Version == d.record.Version {
		return Observation{}, false
	}
	d.record, d.isNews = record, false
	if !record.asks() {
		return Observation{}, false
	}
	d.own.Draining = d.own.Draining || record.Draining
	return Observation{
		Advice: Advice{Rate: record.Rate, Draining: record.Draining},
		Route:  RouteDirectory, SentAt: now, ReceivedAt: now,
	}, true
}

// NextProposal returns what the directory should have, if it has something else. Proposed follows for each. The directory is to
// keep a record whose version is later.
func (d *DirectorySync) NextProposal(now time.Time) (Record, bool) {
	if !d.isNews || d.proposing || d.own.says(d.record) || now.Before(d.next) {
		return Record{}, false
	}
	d.proposing = true
	d.next = now.Add(proposeGap)
	return Record{Rate: d.own.Rate, Draining: d.own.Draining, Version: d.record.Version}, true
}

// ProposalEnded says that a proposal has ended, whatever became of it.
func (d *DirectorySync) ProposalEnded() { d.proposing = false }
