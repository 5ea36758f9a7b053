package poison

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Numbers of crashes that raise the standing of a request. A request may have run on a server that crashed because of
// another request, even twice. It is therefore watched first, which makes it start alone at its server, and quarantined
// after a crash that happened while it ran alone.
const (
	WatchThreshold      = 2
	QuarantineThreshold = 3
	// sharedQuarantineThreshold is the number of crashes that quarantine a request that never ran alone at a crash.
	// Such a request may crash servers only after running for a while, when other requests have been started next to
	// it. A harmless request isn't running at that many crashes in a row without completing.
	sharedQuarantineThreshold = 6
)

// Durations, measured by the clock of the control leader.
const (
	// WatchPeriod is how long crashes without a quarantine are remembered, counted from the latest one.
	WatchPeriod = time.Hour
	// initialQuarantine is the length of the first quarantine. After it a single further crash quarantines the request
	// again, each time for twice as long, with at most maxDoublings doublings. A request that is repeated all the time
	// thus reaches at most three more servers within a day.
	initialQuarantine = 2 * time.Hour
	maxDoublings      = 4
	// initialPartQuarantine is the length of the first quarantine of a part, which sound requests may have too. Each
	// further one is four times as long, with at most maxDoublings steps: in a day of requests with the part it reaches
	// five more servers, alone.
	initialPartQuarantine = 5 * time.Minute
	// duplicateCrashWindow is the time within which crashes of one server count as one, since several peers connected
	// to it may report the same crash. A crashed server takes longer than that to restart.
	duplicateCrashWindow = 2 * time.Second
)

// Standing is how a request is treated because of the crashes recorded for it.
type Standing uint8

const (
	// Clear requests run without restrictions.
	Clear Standing = iota
	// Watched requests start alone at their server.
	Watched
	// Quarantined requests are refused.
	Quarantined
)

// String returns the standing's name as used in logs.
func (s Standing) String() string {
	switch s {
	case Watched:
		return "watched"
	case Quarantined:
		return "quarantined"
	default:
		return "clear"
	}
}

// StandingOf returns the standing that follows from a record, nil for none.
func StandingOf(record *wire.PoisonRecord) Standing {
	crashes, shared := len(record.GetCrashes()), sharedCrashes(record)
	manyShared := shared >= sharedQuarantineThreshold
	if IsPart(record) {
		manyShared = sharedBursts(record, func(*wire.Crash) bool { return true }) >= sharedQuarantineThreshold
	}
	switch {
	case crashes >= QuarantineThreshold && shared < crashes, manyShared:
		return Quarantined
	case crashes >= WatchThreshold:
		return Watched
	default:
		return Clear
	}
}

// Key identifies what crashes are counted for: a request across its repetitions, or a part of prompts.
//
// A request's key has its organisation: the same content from another organisation has another key, so that no
// organisation can cause requests of another one to be refused. A part's key has no organisation, since a part may crash
// servers whatever else a request holds; see StandingFor for what protects organisations from each other.
type Key struct {
	// Organisation is the caller's, empty in the key of a part.
	Organisation string
	// Target is the model or service of the requests with a part, empty in the key of a request.
	Target string
	// Fingerprint is the digest of the request's content, or the ID of the part.
	Fingerprint Fingerprint
}

// KeyOf returns the key of a record.
func KeyOf(record *wire.PoisonRecord) Key {
	if IsPart(record) {
		return PartKey(record.GetTarget(), record.GetFingerprint())
	}
	return Key{Organisation: record.GetOrganisation(), Fingerprint: Fingerprint(record.GetFingerprint())}
}

// PartKey returns the key of a part of prompts for a model or service, which must not be empty.
func PartKey(target string, id uint64) Key { return Key{Target: target, Fingerprint: Fingerprint(id)} }

// IsPart reports whether a record is of a part of prompts.
func IsPart(record *wire.PoisonRecord) bool { return record.GetTarget() != "" }

// String returns the form of the key used in logs, which is unique to the key.
func (k Key) String() string {
	if k.Target != "" {
		return k.Target + "#" + k.Fingerprint.String()
	}
	return k.Organisation + "/" + k.Fingerprint.String()
}

// NewRecord returns a record of the key without crashes.
func (k Key) NewRecord() *wire.PoisonRecord {
	return &wire.PoisonRecord{Organisation: k.Organisation, Fingerprint: uint64(k.Fingerprint), Target: k.Target}
}

// CrashedServers returns the servers in a record's crashes, in the order in which the crashes were recorded.
func CrashedServers(record *wire.PoisonRecord) []string {
	var servers []string
	for _, crash := range record.GetCrashes() {
		servers = append(servers, crash.GetServer())
	}
	return servers
}

// AddCrash adds a crash to a record at the given time, in milliseconds since 1970, and reports whether the record
// changed. A crash that is already known doesn't change it, nor does a crash of a request that is quarantined: that
// request was dispatched before the quarantine. The standing doesn't depend on the order in which crashes are added.
func AddCrash(record *wire.PoisonRecord, crash *wire.Crash, nowMS uint64) bool {
	if isComplete(record) {
		return false
	}
	for _, known := range record.GetCrashes() {
		if isDuplicate(known, crash, nowMS) {
			return addOrganisations(known, crash.GetOrganisations())
		}
	}
	before := StandingOf(record)
	added := proto.CloneOf(crash)
	added.UnixMs = nowMS
	record.Crashes = append(record.Crashes, added)
	if before != Quarantined {
		record.UntilUnixMs = nowMS + milliseconds(WatchPeriod)
	}
	if before != Quarantined && StandingOf(record) == Quarantined {
		record.Quarantines++
		record.UntilUnixMs = nowMS + milliseconds(quarantineDuration(record))
	}
	return true
}

// isComplete reports whether no further crash changes what follows from a record.
func isComplete(record *wire.PoisonRecord) bool {
	if IsPart(record) {
		return len(record.GetCrashes()) >= maxPartCrashes
	}
	return StandingOf(record) == Quarantined
}

// sharedCrashes counts the crashes in a record at which other requests ran on the server too.
func sharedCrashes(record *wire.PoisonRecord) int {
	n := 0
	for _, crash := range record.GetCrashes() {
		if !crash.GetAlone() {
			n++
		}
	}
	return n
}

// isDuplicate reports whether a crash is one that is already recorded. Several agents may report the same crash, some
// of them late because they were disconnected from control, but two reports with different IDs from one agent are two
// crashes. A server whose name is unique to one start crashes once under that name; any other server may crash again.
func isDuplicate(known, crash *wire.Crash, nowMS uint64) bool {
	switch {
	case known.GetId() == crash.GetId():
		return true
	case known.GetServer() != crash.GetServer():
		return false
	case known.GetReporter() != "" && known.GetReporter() == crash.GetReporter():
		return false
	default:
		interval := max(nowMS, known.GetUnixMs()) - min(nowMS, known.GetUnixMs())
		return crash.GetOnce() || interval < milliseconds(duplicateCrashWindow)
	}
}

// Downgrade lowers the standing of a record whose time is over, and reports whether the record is still needed. A
// quarantined request becomes watched for as long as its quarantine lasted; one more crash in that time quarantines it
// again.
func Downgrade(record *wire.PoisonRecord, nowMS uint64) bool {
	if StandingOf(record) != Quarantined {
		return false
	}
	kept := record.GetCrashes()[len(record.GetCrashes())-WatchThreshold:]
	record.Crashes = nil
	for _, crash := range kept {
		crash = proto.CloneOf(crash)
		crash.Alone = false // another crash alone is needed for the next quarantine
		record.Crashes = append(record.Crashes, crash)
	}
	record.UntilUnixMs = nowMS + milliseconds(quarantineDuration(record))
	return true
}

// quarantineDuration returns the length of the present quarantine of a record, or of its latest one.
func quarantineDuration(record *wire.PoisonRecord) time.Duration {
	doublings := min(max(record.GetQuarantines(), 1)-1, maxDoublings)
	if IsPart(record) {
		return initialPartQuarantine << (2 * doublings)
	}
	return initialQuarantine << doublings
}

func milliseconds(d time.Duration) uint64 { return uint64(d.Milliseconds()) }
