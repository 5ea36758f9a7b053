package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/carawaypitch/carawaypitch/wire"
)

// badness says how the new version of a schedule is bad.
type badness string

const (
	good          badness = "good"
	failsAtOnce   badness = "fails at once"
	slowFourTimes badness = "slow by 4 times"
	slowUnflagged badness = "slow by 4 times, entries count none"
	failsLate     badness = "fails after half"
	failsOneClass badness = "fails in one class"
	failsInLoad   badness = "fails under load"
)

var allBadness = []badness{good, failsAtOnce, slowFourTimes, slowUnflagged, failsLate, failsOneClass, failsInLoad}

// exposure is the share of the requests that entries send to the new version.
const exposure = 0.05

// schedule is a simulated roll-out: answers of two versions, second by second.
type schedule struct {
	random         *rand.Rand
	bad            badness
	seconds        int
	classes        []scheduleClass
	spoiled        float64 // share of answers that a bad version spoils
	speed          float64 // of the new version's servers: times relative to the others
	wave           float64 // period of the load in seconds
	shockAt        int     // start of a disturbance of all servers, for shockSeconds
	counts         map[cell]*wire.RolloutCount
	spoiledAnswers float64 // that a bad version has spoiled, on average
}

const shockSeconds = 8

type scheduleClass struct {
	name           string
	rate           float64 // requests per second at all servers
	failures, slow float64 // shares of any version
	timeMS         float64
}

// newSchedule draws a roll-out of 40 to 180 s with one to three classes of 20 to 260 requests per second. Any version
// fails up to 15% and is slow up to 5%; a bad one spoils 20 to 80% more. In a third of the schedules a disturbance hits
// all servers.
func newSchedule(seed uint64, bad badness) *schedule {
	random := rand.New(rand.NewPCG(seed, 7))
	s := &schedule{
		random:  random,
		bad:     bad,
		seconds: 40 + random.IntN(140),
		spoiled: 0.2 + 0.6*random.Float64(),
		speed:   0.6 + 1.1*random.Float64(),
		shockAt: -shockSeconds,
		counts:  make(map[cell]*wire.RolloutCount),
	}
	s.wave = float64(s.seconds) / (2 + 2*random.Float64())
	if random.IntN(3) == 0 {
		s.shockAt = random.IntN(s.seconds)
	}
	base := []float64{0, 0.01, 0.05, 0.15}[random.IntN(4)]
	for i := range 1 + random.IntN(3) {
		s.classes = append(s.classes, scheduleClass{
			name:     fmt.Sprint("class-", i),
			rate:     20 + 240*random.Float64(),
			failures: base * (0.5 + 0.5*random.Float64()),
			slow:     0.05 * random.Float64(),
			timeMS:   100 + 900*random.Float64(),
		})
	}
	return s
}

func (s *schedule) durationMS() uint64 { return uint64(s.seconds) * 1000 }

func (s *schedule) load(second int) float64 {
	return 1 + 0.55*math.Sin(2*math.Pi*float64(second)/s.wave)
}

// isBad reports whether the new version is bad for a class at a time.
func (s *schedule) isBad(class, second int) bool {
	switch s.bad {
	case failsAtOnce, slowFourTimes, slowUnflagged:
		return true
	case failsLate:
		return second >= s.seconds/2
	case failsOneClass:
		return class == 0
	case failsInLoad:
		return s.load(second) > 1.2
	default:
		return false
	}
}

// step adds the answers of one second.
func (s *schedule) step(second int) {
	for i, class := range s.classes {
		load := s.load(second)
		failures, time := class.failures, class.timeMS*max(1, load)
		if second >= s.shockAt && second < s.shockAt+shockSeconds {
			failures, time = failures+0.2, 3*time
		}
		s.answer("v1", class, load*class.rate*(1-exposure), failures, class.slow, time)
		slow, newTime := class.slow, time*s.speed
		spoiled := 0.0
		if s.isBad(i, second) {
			switch s.bad {
			case slowFourTimes:
				slow, newTime, spoiled = flaggedShare, 4*newTime, 1
			case slowUnflagged:
				newTime, spoiled = 4*newTime, 1
			default:
				failures, spoiled = failures+s.spoiled*(1-failures), s.spoiled
			}
		}
		before := s.counts[cell{"v2", class.name}].GetAnswers()
		s.answer("v2", class, load*class.rate*exposure, failures, slow, newTime)
		s.spoiledAnswers += spoiled * float64(s.counts[cell{"v2", class.name}].GetAnswers()-before)
	}
}

// flaggedShare is the share of answers that entries count as slow when all take four times as long.
const flaggedShare = 0.85

// answer adds answers at a rate. Work and times are spread widely; work explains half of the spread of the times.
func (s *schedule) answer(version string, class scheduleClass, rate, failures, slow, timeMS float64) {
	key := cell{version, class.name}
	count := s.counts[key]
	if count == nil {
		count = &wire.RolloutCount{Version: version, Class: class.name}
		s.counts[key] = count
	}
	for range s.poisson(rate) {
		count.Answers++
		if s.random.Float64() < failures {
			count.Failures++
			continue
		}
		if s.random.Float64() < slow {
			count.Slow++
		}
		work := math.Exp(0.8 * s.random.NormFloat64())
		count.Work += uint64(1000 * work)
		count.TimeMs += uint64(timeMS * work * math.Exp(0.8*s.random.NormFloat64()-0.32))
	}
}

func (s *schedule) poisson(mean float64) int {
	n, product, limit := 0, s.random.Float64(), math.Exp(-mean)
	for product > limit {
		n++
		product *= s.random.Float64()
	}
	return n
}

func (s *schedule) observation(second int) Observation {
	all := make(cells)
	for key, count := range s.counts {
		all[key] = sum(nil, count)
	}
	return Observation{Counts: all.sorted(), UnixMS: startMS + uint64(second)*1000, Servers: 3}
}

const startMS = 1_000_000

func (s *schedule) rollout() *wire.Rollout {
	return &wire.Rollout{Pool: "p", To: "v2", Id: 1, OrderedUnixMs: startMS, DurationMs: s.durationMS(), State: wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS}
}
