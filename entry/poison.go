package entry

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/carawaypitch/carawaypitch/outbox"
	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// applyPoison tells the scheduler which requests and parts are watched or quarantined, if that has changed.
func (e *Entry) applyPoison(ctx context.Context, last, view *session.View) error {
	var before map[string]*wire.PoisonRecord
	if last != nil {
		before = last.Poison
	}
	if maps.Equal(before, view.Poison) {
		return nil
	}
	records := make([]*wire.PoisonRecord, 0, len(view.Poison))
	for _, name := range slices.Sorted(maps.Keys(view.Poison)) {
		record := view.Poison[name]
		records = append(records, record)
		if before[name].GetVersion() != record.GetVersion() {
			e.logPoison(record)
		}
	}
	for name, record := range before {
		if view.Poison[name] == nil {
			e.logPoison(poison.KeyOf(record).NewRecord())
		}
	}
	return e.postEvent(ctx, sched.PoisonRecords{Records: records})
}

// logPoison logs the new standing of a request, or of a part if it has a target.
func (e *Entry) logPoison(record *wire.PoisonRecord) {
	e.log.WithField("organisation", record.GetOrganisation()).
		WithField("target", record.GetTarget()).
		WithField("fingerprint", poison.Fingerprint(record.GetFingerprint()).String()).
		WithField("standing", poison.StandingOf(record).String()).
		WithField("servers", strings.Join(poison.CrashedServers(record), ",")).
		WithField("version", record.GetVersion()).
		Info("poison_changed")
}

// clearReport returns an item that makes control clear the crashes attributed to a request that has since been
// answered.
func clearReport(record *wire.PoisonRecord) outbox.Item {
	return outbox.Item{
		EventPrefix: "clear",
		LogKey:      "poison",
		LogValue:    poison.KeyOf(record).String(),
		Command: &wire.Command{Kind: &wire.Command_ClearPoison{
			ClearPoison: &wire.ClearPoison{Cleared: []*wire.PoisonRecord{record}},
		}},
	}
}
