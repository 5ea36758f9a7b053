package entry

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// The fleet-wide view of demand at an entry. The scheduler's demand is copied for the polls of session, and the sums of the other
// entries are passed to the scheduler.

const (
	// demandSampleInterval is how often the scheduler's demand is copied for the polls. It adds to the age of the view without
	// being counted in it.
	demandSampleInterval = 100 * time.Millisecond
	// demandSampleMaxAge is the age from which a sample isn't reported. An entry whose scheduler stands still is then silent, so
	// that the others don't count its demand as present.
	demandSampleMaxAge = time.Second
	// maxShareLines bounds the lines of organisations that exceed their share in each shareLinesInterval. An organisation may go over
	// its share and back with each view, twice a second, in every pool and tier.
	maxShareLines      = 30
	shareLinesInterval = time.Minute
)

// demandState is what an entry holds of the fleet-wide view besides the scheduler's state.
type demandState struct {
	sample atomic.Pointer[demandSample]
	view   atomic.Pointer[demandView]
	shares shareLog
}

// shareLog bounds the log lines of organisations that exceed their share. It belongs to the scheduler goroutine.
type shareLog struct {
	logged  map[sched.ShareChanged]bool // those over their share whose line was written, with Over set
	since   time.Time                   // begin of the interval
	lines   int                         // in the interval
	omitted int                         // since the last line
}

// demandSample is the demand of this entry. The report stays the same while nothing changes.
type demandSample struct {
	report *wire.DemandReport
	at     time.Time
}

// demandView describes the last summary that was received.
type demandView struct {
	takenAt      time.Time
	heard, known uint32
}

// demandSource returns the source of the reports of demand, nil without the setting.
func (e *Entry) demandSource() func() *wire.DemandReport {
	if !e.settings.Admission.FleetDemand {
		return nil
	}
	return e.demandReport
}

// sampleDemand copies the scheduler's demand for the polls. It may be called by the scheduler goroutine only.
func (e *Entry) sampleDemand() {
	if !e.settings.Admission.FleetDemand {
		return
	}
	last, now := e.demand.sample.Load(), e.now()
	if last != nil && now.Sub(last.at) < demandSampleInterval {
		return
	}
	report := &wire.DemandReport{Pools: e.scheduler.DemandReport()}
	if last != nil && proto.Equal(report, last.report) {
		report = last.report
	}
	e.demand.sample.Store(&demandSample{report: report, at: now})
}

// demandReport returns the demand of this entry for control, nil without a current sample. It never waits for the scheduler.
func (e *Entry) demandReport() *wire.DemandReport {
	sample := e.demand.sample.Load()
	if sample == nil || e.now().Sub(sample.at) > demandSampleMaxAge {
		return nil
	}
	return sample.report
}

// applyFleetDemand passes the sums of the other entries to the scheduler. If its ring is full they are dropped: the next ones come
// within a second.
func (e *Entry) applyFleetDemand(summary *wire.DemandSummary, sent time.Time) {
	if !e.settings.Admission.FleetDemand {
		return
	}
	at := e.now().Add(-time.Since(sent))
	e.demand.view.Store(&demandView{
		takenAt: at.Add(-time.Duration(summary.GetAgeMs()) * time.Millisecond), heard: summary.GetEntriesHeard(), known: summary.GetEntriesKnown(),
	})
	e.inputs.TryPush(input{event: sched.FleetDemand{Summary: summary, At: at}})
}

// logShare logs that an organisation exceeds its share of a pool, or that it no longer does if the first was logged.
func (e *Entry) logShare(a sched.ShareChanged) {
	l, over := &e.demand.shares, a
	over.Over = true
	if !a.Over {
		if l.logged[over] {
			delete(l.logged, over)
			e.shareFields(a).Info("organisation_within_share")
		}
		return
	}
	if now := e.now(); now.Sub(l.since) >= shareLinesInterval {
		l.since, l.lines = now, 0
	}
	if l.lines >= maxShareLines {
		l.omitted++
		return
	}
	if l.logged == nil {
		l.logged = make(map[sched.ShareChanged]bool)
	}
	l.logged[over] = true
	l.lines++
	e.shareFields(a).WithField("omitted", l.omitted).Info("organisation_over_share")
	l.omitted = 0
}

func (e *Entry) shareFields(a sched.ShareChanged) *log.Entry {
	return e.log.WithField("pool", a.Pool).WithField("tier", a.Tier).WithField("organisation", a.Organisation)
}

// registerDemandGauges registers the gauges of the fleet-wide view and declares its counters, if the setting is on.
func (m *meter) registerDemandGauges(e *Entry) {
	if !e.settings.Admission.FleetDemand {
		return
	}
	for _, view := range sched.ForecastViewLabels() {
		m.count(sched.Count{Counter: sched.ForecastViews, Label: view})
	}
	gauge := func(name string, value func(*demandView) float64) {
		m.set.NewGauge(name, func() float64 {
			if view := e.demand.view.Load(); view != nil {
				return value(view)
			}
			return 0
		})
	}
	gauge(metricFleetHeard, func(v *demandView) float64 { return float64(v.heard) })
	gauge(metricFleetKnown, func(v *demandView) float64 { return float64(v.known) })
	gauge(metricFleetAge, func(v *demandView) float64 { return e.now().Sub(v.takenAt).Seconds() })
}
