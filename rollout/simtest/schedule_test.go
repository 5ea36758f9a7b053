package simtest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// way says how the new version is bad.
type way string

const (
	good          way = "good"
	failsAtOnce   way = "fails at once"
	slow          way = "slow by several times"
	failsLate     way = "fails only after a while"
	failsInLoad   way = "fails only under load"
	failsOneClass way = "fails in one class"
)

var ways = []way{good, failsAtOnce, slow, failsLate, failsInLoad, failsOneClass}

const (
	pool       = "m"
	oldVersion = "v1"
	newVersion = "v2"
)

// schedule is one drawn roll-out. Rates are of all entries together.
type schedule struct {
	seed         uint64
	way          way
	kind         string // of the pool: "model" or "service"
	duration     time.Duration
	rate         float64 // requests per second without waves and bursts
	wave         float64 // amplitude
	wavePeriod   time.Duration
	bursts       []burst
	classes      []class
	baseFailures float64 // share of answers of any version that fail
	spoiled      float64 // share of answers that a bad version spoils
	slowBy       float64
	badFrom      time.Duration
	servers      int // of the old version; as many of the new one
	slots        int
	unitMS       float64 // time of an answer of mean work at speed 1
	speeds       []float64
	entries      int
	faults       []fault
}

type burst struct {
	from, to time.Duration
	factor   float64
}

type class struct {
	spec  *wire.Class
	share float64
	work  float64 // relative to the mean
}

type faultKind int

const (
	entryDies faultKind = iota
	entryCutOff
	entryCutFromLeader
	leaderDies
	instanceDies
	instanceCutOff
	allRestart
	faultKinds
)

// fault begins at a time after the order and ends by itself.
type fault struct {
	kind     faultKind
	at, took time.Duration
}

// draw returns the schedule of a seed. Servers are about equally fast, or unlike as those of T.
func draw(seed uint64, unlike bool) *schedule {
	c := &clock{random: rand.New(rand.NewPCG(seed, 11))}
	s := &schedule{
		seed: seed, way: ways[seed%uint64(len(ways))], kind: []string{"model", "service"}[c.random.IntN(2)],
		duration: c.between(40*time.Second, 90*time.Second), rate: c.uniform(40, 140),
		wave: c.uniform(0, 0.55), wavePeriod: c.between(10*time.Second, 40*time.Second),
		baseFailures: []float64{0, 0.01, 0.05}[c.random.IntN(3)], spoiled: c.uniform(0.2, 0.8),
		slowBy: c.uniform(4, 6), servers: 4 + c.random.IntN(17), slots: 2 + c.random.IntN(3), entries: 2 + c.random.IntN(4),
	}
	if s.way == slow {
		s.spoiled = c.uniform(0.5, 1)
	}
	if s.way == failsLate {
		s.badFrom = time.Duration(c.uniform(0.25, 0.65) * float64(s.duration))
	}
	count := c.random.IntN(3)
	if s.way == failsInLoad {
		count = 3 + c.random.IntN(2)
	}
	for i := range count {
		// Bursts are spread over the first three quarters of the time: a version that is bad in bursts only looks good until
		// its first one.
		from := time.Duration((float64(i) + 0.5*c.random.Float64()) / float64(count) * 0.75 * float64(s.duration))
		s.bursts = append(s.bursts, burst{from, from + c.between(2500*time.Millisecond, 11*time.Second), c.uniform(1.5, 2.2)})
	}
	s.drawClasses(c)
	s.drawServers(c, unlike)
	for range c.random.IntN(4) {
		s.faults = append(s.faults, fault{
			kind: faultKind(c.random.IntN(int(faultKinds))), at: c.upTo(s.duration), took: c.between(500*time.Millisecond, 10*time.Second),
		})
	}
	return s
}

func (s *schedule) drawClasses(c *clock) {
	total := 0.0
	for i := range 1 + c.random.IntN(3) {
		share := c.uniform(0.3, 1)
		total += share
		s.classes = append(s.classes, class{
			spec: &wire.Class{
				Name: fmt.Sprint("class-", i), Tier: uint32(i + 1), DeadlineMs: 12_000, LateMax: 0.05, LostMax: 0.05, Repeatable: true, Kind: s.kind,
			},
			share: share, work: c.uniform(0.5, 1.5),
		})
	}
	for i := range s.classes {
		s.classes[i].share /= total
	}
}

// drawServers draws speeds, and the time of an answer so that 45 to 75% of the slots are in use on average.
func (s *schedule) drawServers(c *clock, unlike bool) {
	capacity := 0.0
	for i := range 2 * s.servers {
		speed := c.uniform(0.9, 1.1)
		if unlike {
			speed = 1.7
			if c.random.IntN(3) == 0 {
				speed = 0.6
			}
		}
		s.speeds = append(s.speeds, speed)
		if i < s.servers {
			capacity += speed * float64(s.slots)
		}
	}
	meanWork := 0.0
	for _, k := range s.classes {
		meanWork += k.share * k.work
	}
	s.unitMS = 1000 * capacity * c.uniform(0.45, 0.75) / (s.rate * meanWork)
}

// load returns the rate at a time after the order, as a multiple of the mean.
func (s *schedule) load(at time.Duration) float64 {
	load := 1 + s.wave*math.Sin(2*math.Pi*float64(at)/float64(s.wavePeriod))
	if b := s.burst(at); b != nil {
		load = max(load, 1) * b.factor
	}
	return load
}

func (s *schedule) burst(at time.Duration) *burst {
	for i := range s.bursts {
		if b := &s.bursts[i]; at >= b.from && at < b.to {
			return b
		}
	}
	return nil
}

// isBad reports whether the new version spoils answers to a class at a time after the order.
func (s *schedule) isBad(class string, at time.Duration) bool {
	switch s.way {
	case failsAtOnce, slow:
		return true
	case failsLate:
		return at >= s.badFrom
	case failsInLoad:
		return s.burst(at) != nil
	case failsOneClass:
		return class == s.classes[0].spec.GetName()
	}
	return false
}
