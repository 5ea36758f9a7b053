package quota

import (
	"math"
	"time"
)

const (
	// capDemandTime is over which time the demand of a class is taken: some requests of a busy class at one entry.
	capDemandTime = 2 * time.Second
	// capMinor is the part of all units asked for below which a class is never refused for the sake of another: it would free
	// nothing to speak of. Calls of plain services that count as 200 tokens each stand beside prompts of 10,000.
	capMinor = 0.05
	// capStarvedShare is the share admitted of all classes' units below which a class is no longer refused for the sake of
	// another. It is that of the scheduler's order, see sched.
	capStarvedShare = 0.35
)

// Class is the class of a request that takes from a cap.
type Class struct {
	Name string
	// Precedence is the class's order among its organisation's: the lower number goes first.
	Precedence uint32
}

// capDemand is what one class asks of a cap at this entry. The sums fade, by the time in their name.
type capDemand struct {
	precedence uint32
	at         time.Time
	lately     float64 // units asked for, over capDemandTime
	asked      float64 // over the window
	taken      float64 // of those
}

func (d *capDemand) fade(now time.Time, window time.Duration) {
	gone := now.Sub(d.at)
	d.at = now
	d.lately *= math.Exp(-gone.Seconds() / capDemandTime.Seconds())
	keep := math.Exp(-gone.Seconds() / window.Seconds())
	d.asked *= keep
	d.taken *= keep
}

// missing is how many units more the class will probably want in the window than it has.
func (d *capDemand) missing(window time.Duration) float64 {
	return max(d.lately*window.Seconds()/capDemandTime.Seconds()-d.taken, 0)
}

// capOrder decides which classes of an organisation are refused first once its cap is nearly used up.
//
// Requests that are admitted in the order of their arrival leave an organisation at several times its usual without its
// most urgent work: of one at six times its usual, with two thirds of its units in the most urgent class, 579 requests of
// that class were refused while 656 of the least urgent were answered. What the urgent classes will probably still ask for
// in the window is set aside for them, so that the others get what is left over. The whole window counts: use that came in
// a burst leaves in a burst, and a class that is urgent later would find the cap used up again. One would notice by
// over_usage_cap refusals of the class with the highest precedence while others of its organisation are served.
type capOrder struct {
	window  time.Duration
	classes map[string]*capDemand
}

func newCapOrder(window time.Duration) *capOrder {
	return &capOrder{window: window, classes: make(map[string]*capDemand)}
}

// maxCapClasses bounds the classes remembered of one organisation. Beyond it the one that asked longest ago is forgotten.
const maxCapClasses = 64

// ask notes that a request of the class asks for units, whether or not it gets them.
func (o *capOrder) ask(now time.Time, class Class, units float64) {
	d := o.classes[class.Name]
	if d == nil {
		d = &capDemand{at: now}
		o.classes[class.Name] = d
		o.forget()
	}
	d.precedence = class.Precedence
	d.fade(now, o.window)
	d.lately += units
	d.asked += units
}

// took notes that a request of the class got units, or gave them back.
func (o *capOrder) took(class Class, units float64) {
	if d := o.classes[class.Name]; d != nil {
		d.taken = max(d.taken+units, 0)
	}
}

func (o *capOrder) forget() {
	if len(o.classes) <= maxCapClasses {
		return
	}
	oldest := ""
	for name, d := range o.classes {
		known := o.classes[oldest]
		if known == nil || d.at.Before(known.at) || d.at.Equal(known.at) && name < oldest {
			oldest = name
		}
	}
	delete(o.classes, oldest)
}

// capGrowth is by how much the classes that go first are taken to want more of a cap in the coming window than they wanted in the
// last one.
const capGrowth = 2

// reserve is how many units, over so many entries with a demand like here, a request of the class must leave to those that
// go first. used is what all entries have used of the cap.
//
// One entry of many sees few requests of an organisation, so what it foretells of all is mostly chance: of a request in three
// seconds, one urgent request looked like twice the whole cap. It is therefore bounded by what they all have used: of that the
// classes that go first have had, or wanted, a part as here.
func (o *capOrder) reserve(now time.Time, class Class, entries, used, limit float64) float64 {
	own := o.classes[class.Name]
	if own == nil {
		return 0
	}
	asked, taken, ahead, wanted := 0.0, 0.0, 0.0, 0.0
	for _, d := range o.classes {
		d.fade(now, o.window)
		asked += d.asked
		taken += d.taken
		if d.precedence < own.precedence {
			ahead += d.missing(o.window)
			wanted += max(capGrowth*d.asked-d.taken, 0)
		}
	}
	minor := own.asked < capMinor*asked
	starved := own.taken*asked < capStarvedShare*taken*own.asked
	if minor || starved {
		return 0
	}
	foretold := entries * ahead
	if taken > 0 {
		foretold = min(foretold, used*wanted/taken)
	}
	return min(foretold, limit)
}
