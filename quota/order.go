package quota

import (
	"math"
	"time"
)

const (
	// classDemandTimeConstant is the time constant of the recent demand of a class. It covers a few requests of a busy
	// class at one entry.
	classDemandTimeConstant = 2 * time.Second
	// minorShare is the fraction of all requested units below which a class is never refused in favour of another one:
	// refusing it would free almost nothing. Calls of plain services that count as 200 tokens each compete with prompts
	// of 10,000.
	minorShare = 0.05
	// starvedShare is a fraction of the admission ratio of all classes. A class whose own ratio is below it is not
	// refused in favour of another one. The scheduler uses the same value to order its queue.
	starvedShare = 0.35
)

// Class is the class of a request that takes units from a cap.
type Class struct {
	Name string
	// Precedence orders the classes of an organisation: the lower number goes first.
	Precedence uint32
}

// classDemand is the demand of one class at this entry. The sums decay exponentially.
type classDemand struct {
	precedence uint32
	updatedAt  time.Time
	recent     float64 // requested units, time constant classDemandTimeConstant
	requested  float64 // requested units, time constant of one window
	taken      float64 // admitted units, time constant of one window
}

func (d *classDemand) decay(now time.Time, window time.Duration) {
	elapsed := now.Sub(d.updatedAt)
	d.updatedAt = now
	d.recent *= math.Exp(-elapsed.Seconds() / classDemandTimeConstant.Seconds())
	factor := math.Exp(-elapsed.Seconds() / window.Seconds())
	d.requested *= factor
	d.taken *= factor
}

// expectedShortfall returns how many more units the class will probably request in a window than it has taken.
func (d *classDemand) expectedShortfall(window time.Duration) float64 {
	return max(d.recent*window.Seconds()/classDemandTimeConstant.Seconds()-d.taken, 0)
}

// classOrder decides which classes of an organisation are refused first once its cap is nearly used up.
//
// Admitting requests in the order of their arrival leaves an organisation at several times its usual load without its
// most urgent work: at six times the usual load, with two thirds of the units in the most urgent class, 579 requests of
// that class are refused while 656 of the least urgent are answered. Therefore the units that urgent classes will
// probably still request in the window are reserved for them, and the other classes get the rest. The reservation
// covers the whole window: use that came in a burst leaves in a burst, and an urgent class that requests units later
// would find the cap used up again. A fault in this shows as over_usage_cap refusals of the class with the highest
// precedence while other classes of its organisation are served.
type classOrder struct {
	window  time.Duration
	classes map[string]*classDemand
}

func newClassOrder(window time.Duration) *classOrder {
	return &classOrder{window: window, classes: make(map[string]*classDemand)}
}

// maxClasses bounds the number of classes remembered per organisation. Beyond it the class with the oldest request is
// evicted.
const maxClasses = 64

// recordDemand records that a request of the class needs units, whether or not it gets them.
func (o *classOrder) recordDemand(now time.Time, class Class, units float64) {
	d := o.classes[class.Name]
	if d == nil {
		d = &classDemand{updatedAt: now}
		o.classes[class.Name] = d
		o.evict()
	}
	d.precedence = class.Precedence
	d.decay(now, o.window)
	d.recent += units
	d.requested += units
}

// recordTaken records that a request of the class took units, or returned them if units is negative.
func (o *classOrder) recordTaken(class Class, units float64) {
	if d := o.classes[class.Name]; d != nil {
		d.taken = max(d.taken+units, 0)
	}
}

func (o *classOrder) evict() {
	if len(o.classes) <= maxClasses {
		return
	}
	oldest := ""
	for name, d := range o.classes {
		known := o.classes[oldest]
		if known == nil || d.updatedAt.Before(known.updatedAt) || d.updatedAt.Equal(known.updatedAt) && name < oldest {
			oldest = name
		}
	}
	delete(o.classes, oldest)
}

// demandGrowth is the assumed ratio between the demand of the classes of higher precedence in the coming window and in
// the last one.
const demandGrowth = 2

// reserve returns how many units a request of the class must leave to the classes of higher precedence, assuming that
// all entries have the same demand as this one. used is what all entries have used of the cap.
//
// One of many entries receives few requests of an organisation, so that an extrapolation from its own demand is mostly
// noise: with one request every three seconds, a single urgent request extrapolates to twice the whole cap. The result
// is therefore bounded by the use of all entries, multiplied by the ratio at this entry between the demand of the
// classes of higher precedence and the units taken by all classes.
func (o *classOrder) reserve(now time.Time, class Class, entries, used, limit float64) float64 {
	own := o.classes[class.Name]
	if own == nil {
		return 0
	}
	requested, taken, higherShortfall, higherDemand := 0.0, 0.0, 0.0, 0.0
	for _, d := range o.classes {
		d.decay(now, o.window)
		requested += d.requested
		taken += d.taken
		if d.precedence < own.precedence {
			higherShortfall += d.expectedShortfall(o.window)
			higherDemand += max(demandGrowth*d.requested-d.taken, 0)
		}
	}
	minor := own.requested < minorShare*requested
	starved := own.taken*requested < starvedShare*taken*own.requested
	if minor || starved {
		return 0
	}
	extrapolated := entries * higherShortfall
	if taken > 0 {
		extrapolated = min(extrapolated, used*higherDemand/taken)
	}
	return min(extrapolated, limit)
}
