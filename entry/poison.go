package entry

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// clearTimeout bounds how long one proposal to clear requests is tried. One that fails is made again with their next answers.
	clearTimeout = 10 * time.Second
	// clearRing bounds the proposals that wait.
	clearRing = 64
)

// applyPoison tells the scheduler which requests are watched or quarantined, if that changed.
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
			e.logPoison(poison.KeyOf(record).Record())
		}
	}
	return e.tell(ctx, sched.Poisoned{Records: records})
}

// logPoison notes how a request stands from now on.
func (e *Entry) logPoison(record *wire.PoisonRecord) {
	e.log.WithField("organisation", record.GetOrganisation()).
		WithField("fingerprint", poison.Fingerprint(record.GetFingerprint()).String()).
		WithField("standing", poison.StandingOf(record).String()).
		WithField("servers", strings.Join(poison.Servers(record), ",")).
		WithField("version", record.GetVersion()).
		Info("poison_changed")
}

// clearDuty has control forget the crashes that answered requests were beside.
func (e *Entry) clearDuty(ctx context.Context) error {
	for {
		clearing, err := e.clears.Pop(ctx)
		if err != nil {
			return nil
		}
		e.clearPoison(ctx, clearing.Records)
	}
}

func (e *Entry) clearPoison(ctx context.Context, records []*wire.PoisonRecord) {
	ctx, cancel := context.WithTimeout(ctx, clearTimeout)
	defer cancel()
	command := &wire.Command{Kind: &wire.Command_ClearPoison{ClearPoison: &wire.ClearPoison{Cleared: records}}}
	_, err := e.control.Propose(ctx, command)
	for _, record := range records {
		fields := e.log.WithField("organisation", record.GetOrganisation()).
			WithField("fingerprint", poison.Fingerprint(record.GetFingerprint()).String()).
			WithField("version", record.GetVersion())
		if err != nil {
			fields.WithError(err).Warn("poison_not_cleared")
			continue
		}
		fields.Info("poison_cleared")
	}
}
