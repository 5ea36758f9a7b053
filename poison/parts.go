package poison

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// MaxRunParts bounds the parts that one crash report names, over all requests that the server ran.
	MaxRunParts = 2048
	// maxPartCrashes bounds the crashes in the record of a part. A quarantined part goes on to collect crashes, since
	// those of requests without the other suspects, or of other organisations, still tell something.
	maxPartCrashes = 16
)

// StandingFor returns the standing of an organisation's requests that follows from a record.
//
// The parts of a prompt are what its caller declares, and the crash may come from the rest of the request. So an
// organisation that crashes servers quarantines a part for itself only, until a second organisation has crashed a server
// with it alone. Until then requests of others are watched: each begins alone, and its answer clears the part.
func StandingFor(record *wire.PoisonRecord, organisation string) Standing {
	standing := StandingOf(record)
	if standing == Quarantined && IsPart(record) && !provedFor(record, organisation) {
		return Watched
	}
	return standing
}

// provedFor reports whether crashes show that a part crashes servers in requests of the organisation too.
func provedFor(record *wire.PoisonRecord, organisation string) bool {
	var alone []string
	for _, crash := range record.GetCrashes() {
		own := slices.Contains(crash.GetOrganisations(), organisation)
		switch {
		case crash.GetAlone() && own:
			return true
		case crash.GetAlone():
			for _, other := range crash.GetOrganisations() {
				if !slices.Contains(alone, other) {
					alone = append(alone, other)
				}
			}
		}
	}
	isOwn := func(crash *wire.Crash) bool { return slices.Contains(crash.GetOrganisations(), organisation) }
	return len(alone) > 1 || sharedBursts(record, isOwn) >= sharedQuarantineThreshold
}

// crashBurst is the time within which servers end together, such as those of a rack. Requests with a part that many share run
// on several of them.
const crashBurst = time.Second

// sharedBursts counts the crashes that count and at which the server ran other requests too; those of one burst once.
func sharedBursts(record *wire.PoisonRecord, counts func(*wire.Crash) bool) int {
	n := 0
	var last uint64
	for _, crash := range record.GetCrashes() {
		if crash.GetAlone() || !counts(crash) || n > 0 && crash.GetUnixMs() < last+milliseconds(crashBurst) {
			continue
		}
		n++
		last = crash.GetUnixMs()
	}
	return n
}

// AloneCrashes returns the number of crashes in a record at which the server ran nothing else.
func AloneCrashes(record *wire.PoisonRecord) int {
	return len(record.GetCrashes()) - sharedCrashes(record)
}

// IsExplained reports whether every crash of a part was also one of others, which may be the cause of all of them. A record
// that takes no more crashes is never explained.
func IsExplained(part *wire.PoisonRecord, others []*wire.PoisonRecord) bool {
	if len(part.GetCrashes()) >= maxPartCrashes {
		return false
	}
	for _, crash := range part.GetCrashes() {
		isOther := func(other *wire.PoisonRecord) bool {
			return slices.ContainsFunc(other.GetCrashes(), func(c *wire.Crash) bool { return c.GetId() == crash.GetId() })
		}
		if !slices.ContainsFunc(others, isOther) {
			return false
		}
	}
	return true
}

// addOrganisations adds organisations to a crash that is already recorded, and reports whether that changed it.
func addOrganisations(crash *wire.Crash, organisations []string) bool {
	changed := false
	for _, organisation := range organisations {
		if !slices.Contains(crash.GetOrganisations(), organisation) {
			crash.Organisations = append(crash.Organisations, organisation)
			changed = true
		}
	}
	return changed
}
