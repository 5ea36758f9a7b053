package quota_test

import (
	"time"
)

// The kinds of faults.
const (
	faultKillEntry         = "kill entry"
	faultKillEntries       = "kill half of the entries"
	faultKillControl       = "kill control instance"
	faultKillControls      = "kill control and the entries on its machines"
	faultKillAll           = "kill all"
	faultDisconnectEntry   = "disconnect an entry"
	faultDisconnectControl = "disconnect a control instance"
	faultDisconnectLong    = "disconnect an entry for long"
	faultDisconnectOneWay  = "disconnect an entry in one direction"
	faultFreezeEntry       = "freeze entry"
	faultFreezeControl     = "freeze control instance"
	faultRaise             = "raise the cap"
	faultLower             = "lower the cap"
	faultRemove            = "remove an entry"
	faultAdd               = "add an entry"
	faultSetClock          = "set the time of day of an entry"
)

var simFaults = []string{
	faultKillEntry, faultKillEntries, faultKillControl, faultKillControls, faultKillAll, faultDisconnectEntry, faultDisconnectLong, faultDisconnectControl,
	faultDisconnectOneWay, faultFreezeEntry, faultFreezeControl, faultRaise, faultLower,
	faultRemove, faultAdd, faultSetClock,
}

func (s *sim) injectFault(f simFault) {
	entry, control := s.entries[f.index%len(s.entries)], s.controls[f.index%len(s.controls)]
	switch f.kind {
	case faultKillEntry:
		s.restart(f.duration, entry)
	case faultKillEntries:
		s.restart(f.duration, s.entries[:(len(s.entries)+1)/2]...)
	case faultKillControl:
		s.restartControl(f.duration, control)
	case faultKillControls:
		s.restartControl(f.duration, s.controls...)
		s.restart(f.duration, s.entries[:min(len(s.entries), len(s.controls))]...)
	case faultKillAll:
		s.restartControl(f.duration, s.controls...)
		s.restart(f.duration, s.entries...)
	case faultDisconnectEntry:
		for _, link := range s.links[entry.number] {
			link.cutUntil, link.oneWay = s.now+f.duration, false
		}
	case faultDisconnectLong:
		for _, link := range s.links[entry.number] {
			link.cutUntil, link.oneWay = s.now+10*time.Second+3*f.duration, false
		}
	case faultDisconnectOneWay:
		for _, link := range s.links[entry.number] {
			link.cutUntil, link.oneWay = s.now+f.duration, true
		}
	case faultDisconnectControl:
		for i := range s.entries {
			link := s.links[i][control.number]
			link.cutUntil, link.oneWay = s.now+f.duration, false
		}
	case faultFreezeEntry:
		entry.frozenUntil = s.now + f.duration
	case faultFreezeControl:
		control.frozenUntil = s.now + f.duration
	case faultRaise:
		s.scaleCap(1.5)
	case faultLower:
		s.scaleCap(0.6)
	case faultRemove:
		if entry.up {
			entry.kill()
		}
	case faultAdd:
		s.addEntry()
	case faultSetClock:
		entry.clockOffset += []time.Duration{f.duration, -f.duration}[f.index%2]
	}
}

func (s *sim) scaleCap(factor float64) {
	last := s.caps[len(s.caps)-1]
	s.caps = append(s.caps, capChange{s.now, last.rate * factor, last.burst * factor})
	s.putDesired()
}

func (s *sim) restart(downtime time.Duration, entries ...*simEntry) {
	for _, e := range entries {
		if !e.up {
			continue
		}
		e.kill()
		s.after(min(downtime, time.Second)+s.between(100*time.Millisecond, 400*time.Millisecond), e.start)
	}
}

func (s *sim) restartControl(downtime time.Duration, controls ...*simControl) {
	for _, c := range controls {
		if !c.up {
			continue
		}
		c.kill()
		s.after(min(downtime, time.Second)+s.between(100*time.Millisecond, 400*time.Millisecond), c.start)
	}
}

// addEntry adds an entry to the deployment. The others learn of it at once; in a partition they would learn of it
// later, and hold slightly more headroom until then.
func (s *sim) addEntry() {
	e := &simEntry{s: s, number: len(s.entries)}
	s.entries = append(s.entries, e)
	var row []*simLink
	for range s.controls {
		row = append(row, &simLink{})
	}
	s.links = append(s.links, row)
	for _, other := range s.entries {
		if other.caps != nil {
			other.caps.SetEntries(len(s.entries))
		}
	}
	e.start()
}
