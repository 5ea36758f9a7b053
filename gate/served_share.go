package gate

// servedShareGain is the weight of the last reservation in the learnt share.
const servedShareGain = 0.02

// servedShare is the learnt share of reservations that are served here. The others are withdrawn, since each
// request waits at several gates.
//
// Without it, the predicted wait would count all waiting work and be too long by the number of reservations of each
// request. Requests that could be served in time would be refused for their deadline while backend servers are
// idle.
type servedShare struct {
	elsewhere float64 // share of withdrawn or declined reservations, smoothed
}

// observe records how a reservation ended.
func (s *servedShare) observe(here bool) {
	sample := 1.0
	if here {
		sample = 0
	}
	s.elsewhere += servedShareGain * (sample - s.elsewhere)
}

// value returns the share served here, 1 before anything is learnt.
func (s *servedShare) value() float64 { return 1 - s.elsewhere }
