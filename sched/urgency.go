package sched

import (
	"math"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Parameters of urgency.
const (
	maxUrgency = 1000
	// bandWidth is the difference in urgency below which two classes count as equally near to missing their
	// targets, so that the shares of organisations decide.
	bandWidth = 100
	// targetFloor replaces a target of 0, so that one loss in a thousand counts as the whole target.
	targetFloor = 0.001
	// violationWeight and slackWeight weigh how much of its targets a class has used against how near its first
	// request is to its deadline.
	violationWeight = 0.7
	slackWeight     = 1 - violationWeight
	// minLateToLostRatio is how many times more lateness than loss a class must tolerate for its requests to be
	// queued past their deadline rather than refused.
	minLateToLostRatio = 10
)

// preemptNever is the value of a class's preempt field that forbids preemption.
const preemptNever = "never"

// class is the state of a class of requests.
type class struct {
	name            string
	spec            *wire.Class
	window          window
	outputTokens    *runningMedian // tokens
	serviceTimes    *recentMedian  // microseconds of a service call
	firstEventTimes *recentMedian  // microseconds until the first event of a service's stream
	meanServiceTime recentMean
	runTimes        *runningMedian // milliseconds of a model's run
	lengths         *lengthModel   // nil before it is used
	usedShare       float64        // used share of the targets, 0..1, as of usedShareAt
	usedShareAt     time.Time

	arrivalRate rate
	credit      float64 // dispatches that may be promoted, see hasCredit
}

// classFor returns the state of a request's class. The newest version of its targets applies.
func (s *Scheduler) classFor(spec *wire.Class) *class {
	c := s.classes[spec.GetName()]
	if c == nil {
		c = &class{
			name:         spec.GetName(),
			spec:         spec,
			outputTokens: newRunningMedian(),
			serviceTimes: newRecentMedian(),

			firstEventTimes: newRecentMedian(),
			runTimes:        newRunningMedian(),
		}
		s.classes[c.name] = c
	}
	if spec.GetVersion() > c.spec.GetVersion() {
		c.spec = spec
	}
	return c
}

// setClasses applies the committed classes.
func (s *Scheduler) setClasses(specs []*wire.Class) {
	for _, spec := range specs {
		c := s.classFor(spec)
		c.usedShareAt = time.Time{}
	}
	for name := range s.classes {
		if !s.inUse(name, specs) {
			delete(s.classes, name)
		}
	}
}

func (s *Scheduler) inUse(name string, specs []*wire.Class) bool {
	if name == baselineClass || slices.ContainsFunc(specs, func(c *wire.Class) bool { return c.GetName() == name }) {
		return true
	}
	for _, r := range s.requests {
		if r.class.name == name {
			return true
		}
	}
	return false
}

// mayBeLate reports whether the class's targets prefer a late answer to none.
func mayBeLate(c *wire.Class) bool {
	return c.GetLateMax() > 0 && c.GetLateMax() >= minLateToLostRatio*c.GetLostMax()
}

// lateCutoff returns the deadline before which a request of the class will probably be late even if it starts now;
// zero for a class that isn't queued past its deadline.
//
// Without it a class that tolerates lateness but no loss would be served by deadline alone: under overload requests
// that are already late would always go first, and none would be in time.
func (c *class) lateCutoff(now time.Time) time.Time {
	if !mayBeLate(c.spec) {
		return time.Time{}
	}
	return now.Add(time.Duration(c.runTimes.value(c.predictedRun().Milliseconds())) * time.Millisecond)
}

// Parameters of the sliding window.
const (
	windowSlots = 12
	slotLength  = 5 * time.Second
)

// window counts the answers of a class over the last windowSlots*slotLength.
type window struct {
	slots      [windowSlots]slot
	newestSlot int64 // sequence number of the newest slot
}

type slot struct{ total, late, lost float64 }

func (w *window) advance(now time.Time) *slot {
	current := now.UnixNano() / int64(slotLength)
	for i := max(w.newestSlot+1, current-windowSlots+1); i <= current; i++ {
		w.slots[i%windowSlots] = slot{}
	}
	w.newestSlot = max(w.newestSlot, current)
	return &w.slots[w.newestSlot%windowSlots]
}

func (w *window) add(now time.Time, late, lost bool) {
	s := w.advance(now)
	s.total++
	if late {
		s.late++
	}
	if lost {
		s.lost++
	}
}

// sum returns the totals of the window as of now.
func (w *window) sum(now time.Time) slot {
	w.advance(now)
	sum := slot{}
	for _, s := range w.slots {
		sum.total += s.total
		sum.late += s.late
		sum.lost += s.lost
	}
	return sum
}

// shares returns the shares of late and lost answers, 0 without answers.
func (w *window) shares(now time.Time) (late, lost float64) {
	sum := w.sum(now)
	if sum.total == 0 {
		return 0, 0
	}
	return sum.late / sum.total, sum.lost / sum.total
}

// usedShareInterval is how long the used share of the targets is cached.
const usedShareInterval = 250 * time.Millisecond

// currentUsedShare returns how much of its targets the class has used, mapped to 0..1: one half means all of them.
func (c *class) currentUsedShare(now time.Time) float64 {
	if !c.usedShareAt.IsZero() && now.Sub(c.usedShareAt) < usedShareInterval {
		return c.usedShare
	}
	late, lost := c.window.shares(now)
	ratio := max(late/max(c.spec.GetLateMax(), targetFloor), lost/max(c.spec.GetLostMax(), targetFloor))
	c.usedShare = ratio / (1 + ratio)
	c.usedShareAt = now
	return c.usedShare
}

// urgency returns 0..maxUrgency: how near the class is to missing its targets, with a request due at the deadline.
func (c *class) urgency(now, deadline time.Time) uint32 {
	u := violationWeight*c.currentUsedShare(now) + slackWeight*c.deadlinePressure(now, deadline)
	return uint32(maxUrgency * min(max(u, 0), 1))
}

// deadlinePressure returns 0 with the whole allowed time left and 1 with no more time than a run takes.
func (c *class) deadlinePressure(now, deadline time.Time) float64 {
	allowed := time.Duration(c.spec.GetDeadlineMs()) * time.Millisecond
	if allowed <= 0 {
		return 0
	}
	slack := deadline.Sub(now) - c.predictedRun()
	return min(max(1-slack.Seconds()/allowed.Seconds(), 0), 1)
}

// predictedRun estimates the run time of a request of the class from its samples.
func (c *class) predictedRun() time.Duration {
	if c.spec.GetKind() == kindService {
		return time.Duration(c.serviceTimes.value(defaultServiceTime.Microseconds())) * time.Microsecond
	}
	return time.Duration(float64(c.outputTokens.value(defaultOutputTokens)) / defaultDecodeRate * float64(time.Second))
}

func (s *Scheduler) urgency(r *request) uint32 {
	return r.class.urgency(s.now, r.dueAt())
}

// urgencyBand returns the band of an urgency. Urgencies in one band count as equal.
func urgencyBand(urgency uint32) int {
	return int(urgency) / bandWidth
}

func decay(windows float64) float64 {
	return math.Exp(-max(windows, 0))
}
