package quota_test

import (
	"time"
)

// Kinds of faults.
const (
	faultKillEntry    = "kill entry"
	faultKillEntries  = "kill half of the entries"
	faultKillControl  = "kill control instance"
	faultKillControls = "kill control and an entry beside each"
	faultKillAll      = "kill all"
	faultCut          = "cut an entry off"
	faultCutControl   = "cut a control instance off"
	faultCutLong      = "cut an entry off for long"
	faultOneWay       = "cut answers to an entry"
	faultFreezeEntry  = "freeze entry"
	faultFreezeCtl    = "freeze control instance"
	faultRaise        = "raise the cap"
	faultLower        = "lower the cap"
	faultRemove       = "remove an entry"
	faultAdd          = "add an entry"
	faultClock        = "set the time of day of an entry"
)

var simFaults = []string{
	faultKillEntry, faultKillEntries, faultKillControl, faultKillControls, faultKillAll, faultCut, faultCutLong, faultCutControl,
	faultOneWay, faultFreezeEntry, faultFreezeCtl, faultRaise, faultLower,
	faultRemove, faultAdd, faultClock,
}

func (s *sim) strike(f simFault) {
	entry, control := s.entries[f.which%len(s.entries)], s.controls[f.which%len(s.controls)]
	switch f.kind {
	case faultKillEntry:
		s.restart(f.span, entry)
	case faultKillEntries:
		s.restart(f.span, s.entries[:(len(s.entries)+1)/2]...)
	case faultKillControl:
		s.restartControl(f.span, control)
	case faultKillControls:
		s.restartControl(f.span, s.controls...)
		s.restart(f.span, s.entries[:min(len(s.entries), len(s.controls))]...)
	case faultKillAll:
		s.restartControl(f.span, s.controls...)
		s.restart(f.span, s.entries...)
	case faultCut:
		for _, link := range s.links[entry.number] {
			link.cut, link.oneWay = s.now+f.span, false
		}
	case faultCutLong:
		for _, link := range s.links[entry.number] {
			link.cut, link.oneWay = s.now+10*time.Second+3*f.span, false
		}
	case faultOneWay:
		for _, link := range s.links[entry.number] {
			link.cut, link.oneWay = s.now+f.span, true
		}
	case faultCutControl:
		for i := range s.entries {
			link := s.links[i][control.number]
			link.cut, link.oneWay = s.now+f.span, false
		}
	case faultFreezeEntry:
		entry.frozen = s.now + f.span
	case faultFreezeCtl:
		control.frozen = s.now + f.span
	case faultRaise:
		s.change(1.5)
	case faultLower:
		s.change(0.6)
	case faultRemove:
		if entry.up {
			entry.kill()
		}
	case faultAdd:
		s.addEntry()
	case faultClock:
		entry.stepped += []time.Duration{f.span, -f.span}[f.which%2]
	}
}

func (s *sim) change(factor float64) {
	last := s.caps[len(s.caps)-1]
	s.caps = append(s.caps, capChange{s.now, last.rate * factor, last.burst * factor})
	s.putDesired()
}

func (s *sim) restart(down time.Duration, entries ...*simEntry) {
	for _, e := range entries {
		if !e.up {
			continue
		}
		e.kill()
		s.after(min(down, time.Second)+s.between(100*time.Millisecond, 400*time.Millisecond), e.begin)
	}
}

func (s *sim) restartControl(down time.Duration, controls ...*simControl) {
	for _, c := range controls {
		if !c.up {
			continue
		}
		c.kill()
		s.after(min(down, time.Second)+s.between(100*time.Millisecond, 400*time.Millisecond), c.begin)
	}
}

// addEntry puts one more entry into the deployment. The others learn of it at once; in a cut they would learn of it later, and
// hold a little more ahead until then.
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
	e.begin()
}
