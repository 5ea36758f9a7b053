package session

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Limits of reports.
const (
	// reportInterval is the minimum time between two reports on one link.
	reportInterval = 2 * time.Second
	// reportBudget is the maximum rate of reports on all links together, in bytes per second.
	reportBudget = 400
)

// reporter decides which polls of one link carry a report. A larger report is sent less often: with many classes and
// targets, reports would otherwise exceed the network budget of control, visible only in the number of bytes sent.
type reporter struct {
	source func() *wire.EntryReport
	links  int
	due    time.Time
}

// next returns the report to send with a poll at now, or nil for none.
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
