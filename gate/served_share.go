package gate

// servedShareGain is the weight of the last reservation in the learnt share.
const servedShareGain = 0.02

// servedShare is the learnt share of reservations that are served here. The others are taken back, since each request
// waits at several gates.
//
// Counting all that wait as work for this gate would make the predicted wait as many times too long as a request has
// reservations, and requests that could be served in time would be refused for it. One would notice by refusals
// because of the deadline while backend servers have time left.
type servedShare struct {
	elsewhere float64 // share taken back, smoothed
}

// observe takes how a reservation ended.
func (s *servedShare) observe(here bool) {
	sample := 1.0
	if here {
		sample = 0
	}
	s.elsewhere += servedShareGain * (sample - s.elsewhere)
}

// value is the share served here, 1 before anything is learnt.
func (s *servedShare) value() float64 { return 1 - s.elsewhere }
