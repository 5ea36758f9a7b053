package state

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

func partRun(organisation string, id int) *wire.PoisonRecord {
	record := poison.PartKey("sample", uint64(id)).NewRecord()
	record.Organisation = organisation
	return record
}

func noteParts(crash *wire.Crash, parts ...*wire.PoisonRecord) *wire.Command {
	return &wire.Command{Kind: &wire.Command_NoteCrash{NoteCrash: &wire.NoteCrash{Crash: crash, Parts: parts}}}
}

// Guards against crashes of a part that are counted by organisation, so that each organisation's requests with it crash
// servers anew, and against a record that is lost in a snapshot.
func TestCrashesOfPartAddUpOverOrganisations(t *testing.T) {
	l := newLog(t)
	for i, organisation := range []string{"a", "b", "a", "b"} {
		crash := &wire.Crash{Id: fmt.Sprint(i), Server: fmt.Sprint("s", i), Alone: i >= 2, Reporter: "agent"}
		l.accept(noteParts(crash, partRun(organisation, 7)))
	}
	l.restart()
	require.Len(t, l.state.PoisonRecords(), 1)
	record := l.state.PublishedPoisonRecords()[0]
	require.Equal(t, poison.Quarantined, poison.StandingFor(record, "a"))
	require.Equal(t, poison.Quarantined, poison.StandingFor(record, "never seen"))
	require.Equal(t, "a", record.GetOrganisation(), "it counts towards the limit of the first")
}

// Guards against records of parts without a bound, and against an organisation whose parts evict those of others.
func TestRecordsOfPartsAreBounded(t *testing.T) {
	limits := DefaultLimits
	limits.PoisonParts, limits.PoisonPartsPerOrganisation = 300, 200
	l := newLog(t)
	l.state = newState(limits)
	for i := range 2 {
		l.accept(noteParts(&wire.Crash{Id: fmt.Sprint("m", i), Server: fmt.Sprint("m", i)}, partRun("mine", 1)))
	}
	for i := range 40 {
		parts := []*wire.PoisonRecord{partRun("rival", 2)}
		for n := range 50 {
			parts = append(parts, partRun("rival", 100+50*i+n))
		}
		l.accept(noteParts(&wire.Crash{Id: fmt.Sprint("r", i), Server: fmt.Sprint("r", i)}, parts...))
		require.LessOrEqual(t, l.state.poisonRecords.parts["rival"], limits.PoisonPartsPerOrganisation)
		require.LessOrEqual(t, len(l.state.PoisonRecords()), limits.PoisonParts)
	}
	require.Len(t, l.state.PublishedPoisonRecords(), 2, "that of the other, and the one that was at all crashes")
	l.restart()
	l.refuse(result.BadMessage, noteParts(&wire.Crash{Id: "many", Server: "s"}, make([]*wire.PoisonRecord, poison.MaxRunParts+1)...))
}

// BenchmarkNoteCrashOfParts measures recording a crash of a server that ran 60 requests with 12 parts each, with the number of
// records of parts at its limit.
func BenchmarkNoteCrashOfParts(b *testing.B) {
	s := New()
	for i := range uint64(b.N) {
		note := &wire.NoteCrash{Crash: &wire.Crash{Id: strconv.FormatUint(i, 10), Server: "model-1"}}
		for j := range 60 * 12 {
			note.Parts = append(note.Parts, partRun("org-"+strconv.Itoa(j%20), int(i)*720+j+1))
		}
		s.Apply(i+1, &wire.Command{UnixMs: i, Kind: &wire.Command_NoteCrash{NoteCrash: note}})
	}
}
