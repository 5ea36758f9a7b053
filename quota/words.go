package quota

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// isFresh tells whether all that is known of the others is new: control spoke just now, and had heard of each of them.
// An entry without others knows all there is.
//
// Were the larger part of the overrun given on older words, entries that a cut keeps from control would use it as well,
// each by what it heard last; a trial went over a cap so.
func (u *Cap) isFresh() bool {
	if u.entries.Load() == 1 {
		return true
	}
	now := u.now()
	for _, word := range u.others {
		if word.oldest <= capWhole && now.Sub(word.at) <= capFresh {
			return true
		}
	}
	return false
}

// elsewhere is what the other entries have probably used in the window. A control instance that has just started, or
// that some entries don't reach, says too little; so the largest of the late words counts, or the last one of all.
func (u *Cap) elsewhere() float64 {
	now := u.now()
	newest := u.newestWord()
	most := newest.value(now, u.Window)
	for _, word := range u.others {
		if now.Sub(word.at) <= capWordBound {
			most = max(most, word.value(now, u.Window))
		}
	}
	if now.Sub(newest.at) > capWordBound {
		most = max(most, u.limit()*(1-1/float64(max(u.entries.Load(), 1))))
	}
	return most
}

// othersWord is what a control instance said last.
type othersWord struct {
	at      time.Time
	used    float64
	rate    float64
	leaving float64       // of used, in the next second
	oldest  time.Duration // age of what it adds up, of the entry that told it longest ago
}

// value is the word as of now: what was used leaves the window, and the others go on at their rate.
func (w othersWord) value(now time.Time, window time.Duration) float64 {
	age := min(now.Sub(w.at), window)
	return wire.LeftInWindow(w.used, w.leaving, age, window) + w.rate*age.Seconds()
}

// allow sets what may be used here until the next word: a part of what is left now. Were each entry to use all that is
// left as of the last word, a cap could be overrun as many times as there are entries, when a network is cut in the
// moment in which an organisation's use rises.
func (u *Cap) allow() {
	sum, entries := u.sum(), float64(max(u.entries.Load(), 1))
	u.may = capPart * max(u.limitWith(capDoubt)-sum, 0) / entries
	u.mayNew = capPart * max(u.limit()-sum, 0) / entries
	u.spent, u.wordAt = 0, u.now()
}

// awaitsFirst tells whether control has yet to say what the others use, and what was used before this process began.
//
// After a loss of all processes the first polls go out before the caps are known, and the first words came a second later.
// Until then each entry admitted up to its equal part, beside all that had been used just before: 1,721,923 tokens ran in 8 s
// of 1,683,024 tolerated.
func (u *Cap) awaitsFirst() bool {
	return u.wordAt.IsZero() && u.entries.Load() != 1 && u.now().Sub(u.since) < capFirstWait
}

// needsWord tells whether so many units more need a newer word of control. Without a late one the equal part binds.
func (u *Cap) needsWord(units uint64) bool {
	if u.awaitsFirst() {
		return true
	}
	may := u.may
	if u.isFresh() {
		may = u.mayNew
	}
	return u.keepsToPart() && u.spent > 0 && u.spent+float64(units) > may
}

// keepsToPart tells whether there are others and a late word, so that u.may binds.
func (u *Cap) keepsToPart() bool {
	return u.entries.Load() > 1 && !u.wordAt.IsZero() && u.now().Sub(u.wordAt) <= capWordBound
}

// NewWord tells whether a newer word of control could let so many units in that Take refused, and whether it is time to
// ask for one. The channel is closed when one comes.
func (u *Cap) NewWord(units uint64, class Class) (heard <-chan struct{}, ask, helps bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	silent := (u.wordAt.IsZero() || now.Sub(u.wordAt) > capWordBound) && !u.awaitsFirst()
	known := now.Sub(u.wordAt) <= capFresh && u.sum()+float64(units) > u.limitFor(class)
	if silent || known {
		return nil, false, false
	}
	ask = now.Sub(u.asked) >= capAskGap
	if ask {
		u.asked = now
	}
	return u.heard, ask, true
}

// newestWord is the last word of any control instance, empty if there was none.
func (u *Cap) newestWord() othersWord {
	var newest othersWord
	for _, word := range u.others {
		if word.at.After(newest.at) {
			newest = word
		}
	}
	return newest
}

// IsUrgent tells whether control should hear of the use here before the next poll: the cap is nearly used up and much
// of it here, or much is used of what may be without a newer word.
func (u *Cap) IsUrgent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.now().Sub(u.toldAt) < capReportGap {
		return false
	}
	if u.keepsToPart() && u.spent > u.may/2 {
		return true
	}
	return u.untold > capReportPart*u.limit() && u.sum() > capNear*u.limit()
}

// tell returns what was used here in the window, the rate of late and what leaves the window next, and notes that control
// is told.
func (u *Cap) tell() *wire.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.untold, u.toldAt = 0, u.now()
	word := &wire.Usage{Used: uint64(u.own()), Rate: uint64(u.lately()), Leaving: uint64(u.leavingIn(0))}
	if u.sum() > capTellAll*u.limit() {
		for second := 1; second < int(u.Window/time.Second); second++ {
			word.LeavingLater = append(word.LeavingLater, uint64(u.leavingIn(second)))
		}
	}
	return word
}

// leavingIn is what leaves the window in the second that begins after so many.
func (u *Cap) leavingIn(second int) float64 {
	slots := int64(time.Second / u.step())
	total := 0.0
	for i := range slots {
		if at := int64(second)*slots + i; at < capSlots-1 {
			total += u.slots[(u.turn+1+at)%capSlots]
		}
	}
	return total
}

// lately is the rate over the last steps, a second.
func (u *Cap) lately() float64 {
	total := 0.0
	for i := range int64(capRateSlots) {
		total += u.slots[(u.turn-i+capSlots)%capSlots]
	}
	return total / (capRateSlots * u.step().Seconds())
}
