package session

import "github.com/VictoriaMetrics/metrics"

// counters are the metrics of a session.
type counters struct {
	fetches      *metrics.Counter // a message carried a newer version than is in force here
	gaps         *metrics.Counter // an update didn't follow on the known version
	older        *metrics.Counter // an update to a lower version was refused
	behind       *metrics.Counter // the followed instance was left since another one had a newer directory
	linksLost    *metrics.Counter
	dialsRefused *metrics.Counter
	dialsFailed  *metrics.Counter
	unknown      *metrics.Counter // proposals whose outcome stayed unknown
	notProposed  *metrics.Counter
	ordersFenced *metrics.Counter // orders with an old fence number
	ordersFull   *metrics.Counter
	ordersCutOff *metrics.Counter
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
		fetches:      c(`fetches_total`),
		gaps:         c(`updates_refused_total{reason="gap"}`),
		older:        c(`updates_refused_total{reason="older"}`),
		behind:       c(`followed_behind_total`),
		linksLost:    c(`links_lost_total`),
		dialsRefused: c(`dials_failed_total{reason="refused"}`),
		dialsFailed:  c(`dials_failed_total{reason="other"}`),
		unknown:      c(`proposals_failed_total{reason="unknown"}`),
		notProposed:  c(`proposals_failed_total{reason="not_proposed"}`),
		ordersFenced: c(`orders_refused_total{reason="fence"}`),
		ordersFull:   c(`orders_refused_total{reason="full"}`),
		ordersCutOff: c(`orders_refused_total{reason="cut_off"}`),
	}
}

// RequestCount returns how many polls and proposals were made.
func (s *Session) RequestCount() uint64 { return s.ids.Load() }

// LinksLost returns how many links to control instances have ended after they were open.
func (s *Session) LinksLost() uint64 {
	return s.counters.linksLost.Get()
}
