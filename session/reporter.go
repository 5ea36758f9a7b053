package session

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of reports.
const (
	// reportInterval is the least time between two reports on one link.
	reportInterval = 2 * time.Second
	// reportBudget is how many bytes a second the reports on all links may take together.
	reportBudget = 400
)

// reporter says which polls of one link carry a report. A large report goes less often: with many classes and targets
// it would otherwise take the network that control may use, unnoticed but for the bytes sent.
type reporter struct {
	source func() *wire.EntryReport
	links  int
	due    time.Time
}

// next returns the report that goes with the poll sent now, nil for none.
func (r *reporter) next(now time.Time) *wire.EntryReport {
	if r.source == nil || now.Before(r.due) {
		return nil
	}
	report := r.source()
	bytes := proto.Size(report) * r.links
	wait := time.Duration(bytes) * time.Second / reportBudget
	r.due = now.Add(max(reportInterval, wait))
	return report
}
