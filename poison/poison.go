package poison

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

// How many crashes it takes. A request may have been beside the one that caused them, also twice. So it then begins to run alone,
// and a crash there makes a quarantine.
const (
	WatchThreshold      = 2
	QuarantineThreshold = 3
	// quarantinedBeside is how many it takes of a request that was never alone. It may crash servers only after it has run for
	// a while, when others are beside it again; one that is innocent isn't at so many in a row without an answer.
	quarantinedBeside = 6
)

// Times by the leader's clock.
const (
	// WatchPeriod is how long crashes that don't make a quarantine are remembered, from the last one on.
	WatchPeriod = time.Hour
	// firstQuarantine is how long a request is first refused. Then one more crash is enough, and each further quarantine is
	// twice as long: a request that goes on to come back reaches three more servers within a day.
	firstQuarantine = 2 * time.Hour
	longestDoubling = 4
	// sameCrash is within which time crashes of one server are one, as told by several who were connected to it. A server
	// that crashed takes longer to come back.
	sameCrash = 2 * time.Second
)

// Standing says what may be done with a request.
type Standing uint8

const (
	// Clear requests run as any other.
	Clear Standing = iota
	// Watched ones begin to run alone at their server.
	Watched
	// Quarantined ones are refused.
	Quarantined
)

// String gives the standing's name in a log line.
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

// StandingOf is the standing by a record, nil for none.
func StandingOf(record *wire.PoisonRecord) Standing {
	crashes, beside := len(record.GetCrashes()), besideOthers(record)
	switch {
	case crashes >= QuarantineThreshold && beside < crashes, beside >= quarantinedBeside:
		return Quarantined
	case crashes >= WatchThreshold:
		return Watched
	default:
		return Clear
	}
}

// Key names a request over its repeats by the same caller. What another organisation sends is another request: what one
// of the rivals does never has a request of another refused.
type Key struct {
	Organisation string
	Fingerprint  Fingerprint
}

// KeyOf is the key of a record.
func KeyOf(record *wire.PoisonRecord) Key {
	return Key{Organisation: record.GetOrganisation(), Fingerprint: Fingerprint(record.GetFingerprint())}
}

// String is unique to the key, and its form in logs.
func (k Key) String() string { return k.Organisation + "/" + k.Fingerprint.String() }

// NewRecord is a record that names the key and nothing else.
func (k Key) NewRecord() *wire.PoisonRecord {
	return &wire.PoisonRecord{Organisation: k.Organisation, Fingerprint: uint64(k.Fingerprint)}
}

// CrashedServers are the servers that crashed, the oldest crash first.
func CrashedServers(record *wire.PoisonRecord) []string {
	var servers []string
	for _, crash := range record.GetCrashes() {
		servers = append(servers, crash.GetServer())
	}
	return servers
}

// AddCrash notes a crash in a record at a time, in milliseconds since 1970, and tells whether that changes the record. One that is known
// already doesn't, nor does one of a request that is quarantined, which was on its way when that was decided. The order in which
// crashes are noted makes no difference.
func AddCrash(record *wire.PoisonRecord, crash *wire.Crash, nowMS uint64) bool {
	if StandingOf(record) == Quarantined {
		return false
	}
	for _, known := range record.GetCrashes() {
		if isSame(known, crash, nowMS) {
			return false
		}
	}
	noted := proto.CloneOf(crash)
	noted.UnixMs = nowMS
	record.Crashes = append(record.Crashes, noted)
	record.UntilUnixMs = nowMS + milliseconds(WatchPeriod)
	if StandingOf(record) == Quarantined {
		record.Quarantines++
		record.UntilUnixMs = nowMS + milliseconds(quarantineTime(record))
	}
	return true
}

// besideOthers counts the crashes of a record at which other requests ran as well.
func besideOthers(record *wire.PoisonRecord) int {
	n := 0
	for _, crash := range record.GetCrashes() {
		if !crash.GetAlone() {
			n++
		}
	}
	return n
}

// isSame tells whether a crash is one that was noted before. Several agents may report it, and one of them may have been cut off from
// control meanwhile. A server whose name is of one start crashes once; another one may crash again under its name.
func isSame(known, crash *wire.Crash, nowMS uint64) bool {
	switch {
	case known.GetId() == crash.GetId():
		return true
	case known.GetServer() != crash.GetServer():
		return false
	case known.GetReporter() != "" && known.GetReporter() == crash.GetReporter():
		return false
	default:
		apart := max(nowMS, known.GetUnixMs()) - min(nowMS, known.GetUnixMs())
		return crash.GetOnce() || apart < milliseconds(sameCrash)
	}
}

// Downgrade takes a record whose time is over one step back, and tells whether anything is left of it. A quarantine becomes a watch
// of the same length, within which one more crash is enough for the next one.
func Downgrade(record *wire.PoisonRecord, nowMS uint64) bool {
	if StandingOf(record) != Quarantined {
		return false
	}
	kept := record.GetCrashes()[len(record.GetCrashes())-WatchThreshold:]
	record.Crashes = nil
	for _, crash := range kept {
		crash = proto.CloneOf(crash)
		crash.Alone = false // the next one has to be alone again
		record.Crashes = append(record.Crashes, crash)
	}
	record.UntilUnixMs = nowMS + milliseconds(quarantineTime(record))
	return true
}

// quarantineTime is how long the present quarantine of a record lasts, or its last one lasted.
func quarantineTime(record *wire.PoisonRecord) time.Duration {
	doublings := min(max(record.GetQuarantines(), 1)-1, longestDoubling)
	return firstQuarantine << doublings
}

func milliseconds(d time.Duration) uint64 { return uint64(d.Milliseconds()) }
