package backpressure

import "time"

// proposeGap is the least time between two proposals about one server.
const proposeGap = time.Second

// Record is what the directory has of a server's advice. The zero value is nothing.
type Record struct {
	Rate    Rate
	Version uint64 // that the directory gave it
}

// Directory joins what a sender hears of a server with what the directory has of it, so that senders know of each other's words and a
// successor knows its predecessor's. It isn't safe for concurrent use.
type Directory struct {
	record    Record
	own       Rate // that answers to this sender named last
	isNews    bool // own was heard after the record was
	proposing bool
	next      time.Time // of the next proposal
}

// Heard takes an answer to this sender; limit is what the sender goes by after it. An answer that neither names a rate nor ended one
// says nothing.
func (d *Directory) Heard(o Observation, limit Rate) {
	if o.Rate.Limited || !limit.Limited {
		d.own, d.isNews = o.Rate, true
	}
}

// Learn takes the directory's record, and returns the word that it stands for. That the directory has nothing any more is no word:
// this sender's own answers show whether a rate has ended.
func (d *Directory) Learn(now time.Time, record Record) (word Observation, isNews bool) {
	if record.Version == d.record.Version {
		return Observation{}, false
	}
	d.record, d.isNews = record, false
	if !record.Rate.Limited {
		return Observation{}, false
	}
	return Observation{Advice: Advice{Rate: record.Rate}, Route: RouteDirectory, Asked: now, Heard: now}, true
}

// Propose returns what the directory should have, if it has something else. Proposed follows for each. The directory is to
// keep a record whose version is later.
func (d *Directory) Propose(now time.Time) (Record, bool) {
	if !d.isNews || d.proposing || d.own == d.record.Rate || now.Before(d.next) {
		return Record{}, false
	}
	d.proposing = true
	d.next = now.Add(proposeGap)
	return Record{Rate: d.own, Version: d.record.Version}, true
}

// Proposed says that a proposal has ended, whatever became of it.
func (d *Directory) Proposed() { d.proposing = false }
