package session

import "github.com/VictoriaMetrics/metrics"

// counters holds the metrics of a session.
type counters struct {
	fetches         *metrics.Counter // messages that carried a newer version than the one in force here
	gaps            *metrics.Counter // updates whose base is newer than the known version
	staleUpdates    *metrics.Counter // configuration updates refused for a version lower than the known one
	sourceBehind    *metrics.Counter // directory sources replaced because another instance had a newer directory
	linksLost       *metrics.Counter
	dialsRefused    *metrics.Counter
	dialsFailed     *metrics.Counter
	outcomesUnknown *metrics.Counter // proposals whose outcome stayed unknown
	notProposed     *metrics.Counter
	ordersFenced    *metrics.Counter // orders refused for an old fence number
	ordersFull      *metrics.Counter
	ordersCutOff    *metrics.Counter
}

func newCounters(set *metrics.Set, s *Session) counters {
	set.GetOrCreateGauge(`carawaypitch_config_version`, func() float64 { return float64(s.View().ConfigVersion) })
	set.GetOrCreateGauge(`carawaypitch_directory_version`, func() float64 { return float64(s.View().DirectoryVersion) })
	set.GetOrCreateGauge(`carawaypitch_cut_off`, func() float64 {
		if s.CutOff() != nil {
			return 1
		}
		return 0
	})
	c := func(name string) *metrics.Counter { return set.GetOrCreateCounter("carawaypitch_control_" + name) }
	return counters{
		fetches:         c(`fetches_total`),
		gaps:            c(`updates_refused_total{reason="gap"}`),
		staleUpdates:    c(`updates_refused_total{reason="older"}`),
		sourceBehind:    c(`followed_behind_total`),
		linksLost:       c(`links_lost_total`),
		dialsRefused:    c(`dials_failed_total{reason="refused"}`),
		dialsFailed:     c(`dials_failed_total{reason="other"}`),
		outcomesUnknown: c(`proposals_failed_total{reason="unknown"}`),
		notProposed:     c(`proposals_failed_total{reason="not_proposed"}`),
		ordersFenced:    c(`orders_refused_total{reason="fence"}`),
		ordersFull:      c(`orders_refused_total{reason="full"}`),
		ordersCutOff:    c(`orders_refused_total{reason="cut_off"}`),
	}
}

// RequestCount returns the number of polls and proposals made.
func (s *Session) RequestCount() uint64 { return s.ids.Load() }

// LinksLost returns the number of links to control instances that ended after they were open.
func (s *Session) LinksLost() uint64 {
	return s.counters.linksLost.Get()
}
