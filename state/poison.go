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

// poisonPrefix marks records of poison requests in the directory's history.
const poisonPrefix = "p/"

// poisoned holds the requests under which servers have crashed, by the text of their keys. Its records are replaced and never
// changed: snapshots and clients share them.
//
// A request that crashes the servers that run it comes again at any entry. Were its crashes known where they were seen only, each
// entry would lose three servers to it, and one that starts again three more. So they are in the replicated state, whatever entry,
// agent or control instance dies.
type poisoned struct {
	records map[string]*wire.PoisonRecord
	counts  map[string]int // of records, by organisation
}

func newPoisoned() poisoned {
	return poisoned{records: make(map[string]*wire.PoisonRecord), counts: make(map[string]int)}
}

// noteCrash notes a crash against all requests that the server ran.
func (s *State) noteCrash(cmd *wire.NoteCrash) *wire.CommandResult {
	crash := cmd.GetCrash()
	switch {
	case crash.GetId() == "" || len(crash.GetId()) > maxKey || crash.GetServer() == "" || len(crash.GetServer()) > maxName:
		return refuse(result.BadMessage, "a crash without an id or a server, or with a long one")
	case len(crash.GetReporter()) > maxName:
		return refuse(result.BadMessage, "a reporter with a long name")
	case len(cmd.GetRan()) > s.limits.Servers:
		return refuse(result.BadMessage, "a crash under too many requests")
	}
	for _, ran := range cmd.GetRan() {
		if ran.GetFingerprint() != 0 && len(ran.GetOrganisation()) <= maxName {
			s.addCrash(poison.KeyOf(ran), crash)
		}
	}
	return accepted()
}

// addCrash notes a crash against one request.
func (s *State) addCrash(key poison.Key, crash *wire.Crash) {
	record := key.NewRecord()
	if known := s.poisoned.records[key.String()]; known != nil {
		record = proto.CloneOf(known)
	}
	if !poison.AddCrash(record, crash, s.unixMS) {
		return
	}
	if s.poisoned.records[key.String()] == nil {
		s.makeRoomForPoison(key.Organisation)
	}
	s.setPoison(key, record)
}

// setPoison puts a record in force, nil for none. Only watched and quarantined ones are told to clients.
func (s *State) setPoison(key poison.Key, record *wire.PoisonRecord) {
	p := &s.poisoned
	name := key.String()
	before := p.records[name]
	isTold := poison.StandingOf(before) != poison.Clear || poison.StandingOf(record) != poison.Clear
	if record == nil {
		delete(p.records, name)
		p.count(key.Organisation, -1)
	} else {
		record.Version = s.index
		p.records[name] = record
		if before == nil {
			p.count(key.Organisation, 1)
		}
	}
	if isTold {
		s.raiseDirectory(poisonPrefix + name)
	}
}

func (p *poisoned) count(organisation string, change int) {
	p.counts[organisation] += change
	if p.counts[organisation] == 0 {
		delete(p.counts, organisation)
	}
}

// makeRoomForPoison forgets a record where an organisation, or all of them, have as many as there may be. The organisation with the
// most gives way, so that none can push out what is known of another's.
func (s *State) makeRoomForPoison(organisation string) {
	p := &s.poisoned
	switch {
	case p.counts[organisation] >= s.limits.PoisonPerOrganisation:
	case len(p.records) >= s.limits.PoisonRecords:
		names := slices.Sorted(maps.Keys(p.counts))
		organisation = slices.MaxFunc(names, func(a, b string) int { return cmp.Compare(p.counts[a], p.counts[b]) })
	default:
		return
	}
	var least *wire.PoisonRecord // the same in whatever order they come
	for _, record := range p.records {
		if record.GetOrganisation() == organisation && (least == nil || compareEvidence(record, least) < 0) {
			least = record
		}
	}
	s.setPoison(poison.KeyOf(least), nil)
}

// compareEvidence orders the records of an organisation by their crashes, then by their last change.
func compareEvidence(a, b *wire.PoisonRecord) int {
	return cmp.Or(
		cmp.Compare(len(a.GetCrashes()), len(b.GetCrashes())),
		cmp.Compare(a.GetVersion(), b.GetVersion()),
		cmp.Compare(a.GetFingerprint(), b.GetFingerprint()),
	)
}

// clearPoison forgets records of requests that ended whole.
//
// A server that ran a request to its end shows that the request doesn't crash servers: it was beside one that does, or its
// servers died of something else.
func (s *State) clearPoison(cmd *wire.ClearPoison) *wire.CommandResult {
	for _, cleared := range cmd.GetCleared() {
		key := poison.KeyOf(cleared)
		if known := s.poisoned.records[key.String()]; known != nil && known.GetVersion() == cleared.GetVersion() {
			s.setPoison(key, nil)
		}
	}
	return accepted()
}

// expirePoison steps down what is due by the highest leader's clock seen.
func (s *State) expirePoison() *wire.CommandResult {
	for _, record := range sorted(s.poisoned.records) {
		if record.GetUntilUnixMs() > s.unixMS {
			continue
		}
		next := proto.CloneOf(record)
		if !poison.Downgrade(next, s.unixMS) {
			next = nil
		}
		s.setPoison(poison.KeyOf(record), next)
	}
	return accepted()
}

// PoisonRecords returns all requests under which servers have crashed, sorted by key.
func (s *State) PoisonRecords() []*wire.PoisonRecord { return sorted(s.poisoned.records) }

// PublishedPoisonRecords returns those that are watched or quarantined, which is what clients get to know, sorted by key.
func (s *State) PublishedPoisonRecords() []*wire.PoisonRecord {
	return slices.DeleteFunc(s.PoisonRecords(), func(record *wire.PoisonRecord) bool {
		return poison.StandingOf(record) == poison.Clear
	})
}

// HasExpiredPoison tells whether records are to step down at a time, in milliseconds since 1970.
func (s *State) HasExpiredPoison(unixMS uint64) bool {
	for _, record := range s.poisoned.records {
		if record.GetUntilUnixMs() <= unixMS {
			return true
		}
	}
	return false
}

// addPoisonTo puts what is known of a record into an update.
func (s *State) addPoisonTo(out *wire.DirectoryUpdate, name string) {
	record := s.poisoned.records[name]
	if poison.StandingOf(record) == poison.Clear {
		out.RemovedPoison = append(out.RemovedPoison, name)
		return
	}
	out.Poison = append(out.Poison, record)
}

func (p *poisoned) restore(records []*wire.PoisonRecord) {
	for _, record := range records {
		p.records[poison.KeyOf(record).String()] = record
		p.count(record.GetOrganisation(), 1)
	}
}
