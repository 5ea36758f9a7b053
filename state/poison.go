package state

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// poisonPrefix marks records of poison requests in the directory history.
const poisonPrefix = "p/"

// poisonSet holds the requests that were running when servers crashed, and the parts of their prompts, by the text of
// their keys. Records are replaced and never modified, since snapshots and clients share them.
//
// A request that crashes the servers that run it may be repeated at any entry. If crashes were known only where they
// were observed, each entry would lose three servers to it, and another three after a restart. The records are
// therefore replicated, so that they survive the loss of any entry, agent or control instance.
type poisonSet struct {
	records map[string]*wire.PoisonRecord
	counts  map[string]int // number of records of requests, by organisation
	parts   map[string]int // number of records of parts, by the organisation of the first crash
}

func newPoisonSet() poisonSet {
	return poisonSet{records: make(map[string]*wire.PoisonRecord), counts: make(map[string]int), parts: make(map[string]int)}
}

// countsFor returns the numbers of records of a record's kind.
func (p *poisonSet) countsFor(record *wire.PoisonRecord) map[string]int {
	if poison.IsPart(record) {
		return p.parts
	}
	return p.counts
}

// noteCrash records a crash for each request that the server was running.
func (s *State) noteCrash(cmd *wire.NoteCrash) *wire.CommandResult {
	crash := cmd.GetCrash()
	switch {
	case crash.GetId() == "" || len(crash.GetId()) > maxKey || crash.GetServer() == "" || len(crash.GetServer()) > maxName:
		return refuse(result.BadMessage, "a crash without an id or a server, or with a long one")
	case len(crash.GetReporter()) > maxName:
		return refuse(result.BadMessage, "a reporter with a long name")
	case len(cmd.GetRan()) > s.limits.Servers:
		return refuse(result.BadMessage, "a crash under too many requests")
	case len(cmd.GetParts()) > poison.MaxRunParts:
		return refuse(result.BadMessage, "a crash under too many parts")
	}
	for _, ran := range cmd.GetRan() {
		if identifiesSubject(ran) && !poison.IsPart(ran) {
			s.addCrash(ran, crash)
		}
	}
	for _, part := range cmd.GetParts() {
		if identifiesSubject(part) && poison.IsPart(part) {
			of := proto.CloneOf(crash)
			of.Organisations = []string{part.GetOrganisation()}
			s.addCrash(part, of)
		}
	}
	return accepted()
}

// identifiesSubject reports whether a record of a crash report names a request or a part, with names of allowed lengths.
func identifiesSubject(record *wire.PoisonRecord) bool {
	return record.GetFingerprint() != 0 && len(record.GetOrganisation()) <= maxName && len(record.GetTarget()) <= maxName
}

// addCrash records a crash for one request or part.
func (s *State) addCrash(ran *wire.PoisonRecord, crash *wire.Crash) {
	key := poison.KeyOf(ran)
	record := key.NewRecord()
	record.Organisation = ran.GetOrganisation()
	existing := s.poisonRecords.records[key.String()]
	if existing != nil {
		record = proto.CloneOf(existing)
	}
	if !poison.AddCrash(record, crash, s.leaderUnixMS) {
		return
	}
	if existing == nil {
		s.evictPoisonIfFull(record)
	}
	s.storePoisonRecord(key, record)
}

// storePoisonRecord stores a record, or deletes it if nil. Only watched and quarantined records are published to
// clients, so only changes from or to one of these change the directory version.
func (s *State) storePoisonRecord(key poison.Key, record *wire.PoisonRecord) {
	p := &s.poisonRecords
	name := key.String()
	before := p.records[name]
	isPublished := poison.StandingOf(before) != poison.Clear || poison.StandingOf(record) != poison.Clear
	if record == nil {
		delete(p.records, name)
		p.adjustCount(before, -1)
	} else {
		record.Version = s.index
		p.records[name] = record
		if before == nil {
			p.adjustCount(record, 1)
		}
	}
	if isPublished {
		s.advanceDirectoryVersion(poisonPrefix + name)
	}
}

// adjustCount adds change to the number of records of the record's kind and organisation.
func (p *poisonSet) adjustCount(record *wire.PoisonRecord, change int) {
	counts, organisation := p.countsFor(record), record.GetOrganisation()
	counts[organisation] += change
	if counts[organisation] == 0 {
		delete(counts, organisation)
	}
}

// poisonEvictionDivisor is the part of an organisation's limit that is evicted at once, as a divisor. A crash may bring
// hundreds of parts, and a search through all records for each would take long.
const poisonEvictionDivisor = 32

// evictPoisonIfFull deletes records of the kind of an added one if its organisation, or all of them together, has reached
// its limit. In the latter case they are taken from the organisation with the most records, so that no organisation can
// evict the records of others.
func (s *State) evictPoisonIfFull(added *wire.PoisonRecord) {
	p := &s.poisonRecords
	counts, organisation := p.countsFor(added), added.GetOrganisation()
	perOrganisation, all := s.limits.PoisonPerOrganisation, s.limits.PoisonRecords
	if poison.IsPart(added) {
		perOrganisation, all = s.limits.PoisonPartsPerOrganisation, s.limits.PoisonParts
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	switch {
	case counts[organisation] >= perOrganisation:
	case total >= all:
		names := slices.Sorted(maps.Keys(counts))
		organisation = slices.MaxFunc(names, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
	default:
		return
	}
	var candidates []*wire.PoisonRecord
	for _, record := range p.records {
		if record.GetOrganisation() == organisation && poison.IsPart(record) == poison.IsPart(added) {
			candidates = append(candidates, record)
		}
	}
	slices.SortFunc(candidates, compareForEviction)
	for _, evicted := range candidates[:min(max(perOrganisation/poisonEvictionDivisor, 1), len(candidates))] {
		s.storePoisonRecord(poison.KeyOf(evicted), nil)
	}
}

// compareForEviction orders the records of an organisation by their number of crashes, then by their last change.
func compareForEviction(a, b *wire.PoisonRecord) int {
	return cmp.Or(
		cmp.Compare(len(a.GetCrashes()), len(b.GetCrashes())),
		cmp.Compare(a.GetVersion(), b.GetVersion()),
		cmp.Compare(a.GetFingerprint(), b.GetFingerprint()),
		cmp.Compare(a.GetTarget(), b.GetTarget()),
	)
}

// clearPoison deletes the records of requests that were answered completely, unless they have changed since the
// proposer read them.
//
// A server that ran a request to its end shows that the request does not crash servers: it ran beside one that does,
// or the crashes had another cause.
func (s *State) clearPoison(cmd *wire.ClearPoison) *wire.CommandResult {
	for _, cleared := range cmd.GetCleared() {
		key := poison.KeyOf(cleared)
		if current := s.poisonRecords.records[key.String()]; current != nil && current.GetVersion() == cleared.GetVersion() {
			s.storePoisonRecord(key, nil)
		}
	}
	return accepted()
}

// expirePoison moves each record whose time has passed one step down, by the highest leader time seen.
func (s *State) expirePoison() *wire.CommandResult {
	for _, record := range sortedValues(s.poisonRecords.records) {
		if record.GetUntilUnixMs() > s.leaderUnixMS {
			continue
		}
		next := proto.CloneOf(record)
		if !poison.Downgrade(next, s.leaderUnixMS) {
			next = nil
		}
		s.storePoisonRecord(poison.KeyOf(record), next)
	}
	return accepted()
}

// PoisonRecords returns all requests that were running when servers crashed, sorted by key.
func (s *State) PoisonRecords() []*wire.PoisonRecord { return sortedValues(s.poisonRecords.records) }

// PoisonRecord returns the record of a request or part, nil for none.
func (s *State) PoisonRecord(key poison.Key) *wire.PoisonRecord {
	return s.poisonRecords.records[key.String()]
}

// PublishedPoisonRecords returns the watched and quarantined records, which clients receive, sorted by key.
func (s *State) PublishedPoisonRecords() []*wire.PoisonRecord {
	return slices.DeleteFunc(s.PoisonRecords(), func(record *wire.PoisonRecord) bool {
		return poison.StandingOf(record) == poison.Clear
	})
}

// HasExpiredPoison reports whether the time of any record has passed at unixMS, in milliseconds since 1970.
func (s *State) HasExpiredPoison(unixMS uint64) bool {
	for _, record := range s.poisonRecords.records {
		if record.GetUntilUnixMs() <= unixMS {
			return true
		}
	}
	return false
}

// appendPoisonUpdate adds a record, or its removal, to a directory update.
func (s *State) appendPoisonUpdate(out *wire.DirectoryUpdate, name string) {
	record := s.poisonRecords.records[name]
	if poison.StandingOf(record) == poison.Clear {
		out.RemovedPoison = append(out.RemovedPoison, name)
		return
	}
	out.Poison = append(out.Poison, record)
}

func (p *poisonSet) restore(records []*wire.PoisonRecord) {
	for _, record := range records {
		p.records[poison.KeyOf(record).String()] = record
		p.adjustCount(record, 1)
	}
}
