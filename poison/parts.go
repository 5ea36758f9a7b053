package poison

import (
	"slices"

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
	shared := 0
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
		case own:
			shared++
		}
	}
	return len(alone) > 1 || shared >= sharedQuarantineThreshold
}

// Explains reports whether every crash of a part was also one of another part, so that the other one may be the cause of
// all of them. A record that takes no more crashes is explained by none.
func Explains(other, part *wire.PoisonRecord) bool {
	if len(part.GetCrashes()) >= maxPartCrashes {
		return false
	}
	for _, crash := range part.GetCrashes() {
		if !slices.ContainsFunc(other.GetCrashes(), func(c *wire.Crash) bool { return c.GetId() == crash.GetId() }) {
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
