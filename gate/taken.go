package gate

// takenGain is the weight of the last reservation in the learnt share.
const takenGain = 0.02

// takenShare is the learnt share of reservations that are served here. The others are taken back, since each request
// waits at several gates.
//
// Counting all that wait as work for this gate would make the predicted wait as many times too long as a request has
// reservations, and requests that could be served in time would be refused for it. One would notice by refusals
// because of the deadline while backend servers have time left.
type takenShare struct {
	elsewhere float64 // share taken back, smoothed
}

// note takes how a reservation ended.
func (s *takenShare) note(here bool) {
	sample := 1.0
	if here {
		sample = 0
	}
	s.elsewhere += takenGain * (sample - s.elsewhere)
}

// value is the share served here, 1 before anything is learnt.
func (s *takenShare) value() float64 { return 1 - s.elsewhere }
