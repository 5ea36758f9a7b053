package quota_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

// reportPlays is the variable that holds how many plays of each kind the report makes; without it there is none.
const reportPlays = "CARAWAYPITCH_QUOTA_REPORT"

// belowCap is a demand by phase, as a multiple of the cap's rate, of which nothing should be refused.
var belowCap = []float64{0.9, 0.9, 0.9, 0.5, 1, 0.5, 1, 0.5, 1, 0.5, 1, 0.5, 1}

// TestReport prints how often and by how much caps are overrun, what is refused under a demand beyond the cap and under one
// below it, and the commits a second, for each kind of fault alone and for mixes. It is started by hand.
func TestReport(t *testing.T) {
	plays, err := strconv.Atoi(os.Getenv(reportPlays))
	if err != nil {
		t.Skipf("%s holds no number of plays", reportPlays)
	}
	fmt.Printf("%-40s %6s %9s %9s %9s %9s %9s\n", "faults", "plays", "overrun", "worst", "refused", "below", "commits")
	for _, kind := range append([]string{"none"}, simFaults...) {
		reportKind(kind, plays, func(rng *rand.Rand) []simFault {
			if kind == "none" {
				return nil
			}
			return []simFault{drawFault(rng, kind)}
		})
	}
	reportKind("four of any kind", 4*plays, func(rng *rand.Rand) []simFault {
		var faults []simFault
		for range 4 {
			faults = append(faults, drawFault(rng, simFaults[rng.IntN(len(simFaults))]))
		}
		return faults
	})
}

func drawFault(rng *rand.Rand, kind string) simFault {
	return simFault{
		kind:  kind,
		at:    5*time.Second + time.Duration(rng.IntN(15000))*time.Millisecond,
		span:  200*time.Millisecond + time.Duration(rng.IntN(6000))*time.Millisecond,
		which: rng.IntN(8),
	}
}

// reportKind makes plays side by side and prints one line.
func reportKind(name string, plays int, faults func(*rand.Rand) []simFault) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	over, worst, refused, below, commits := 0, 0.0, 0.0, 0.0, 0
	free := make(chan struct{}, 4)
	for i := range plays {
		wg.Add(1)
		free <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-free }()
			rng := rand.New(rand.NewPCG(uint64(i), 7))
			plan := simPlan{
				seed: uint64(i), entries: 4 + rng.IntN(5), controls: 3,
				skew: 0.6 + 0.4*rng.Float64(), units: 300 + 700*rng.Float64(), faults: faults(rng),
			}
			for range 9 {
				plan.demand = append(plan.demand, 0.3+4*rng.Float64())
			}
			calm := plan
			calm.demand = belowCap
			underneath := newSim(calm)
			underneath.play()
			s := newSim(plan)
			s.play()
			found, is := s.worst()
			mu.Lock()
			defer mu.Unlock()
			refused += s.refused / s.asked
			below += underneath.refused / underneath.asked
			commits += s.commits
			if is {
				over++
				worst = max(worst, found.used/found.most-1)
			}
		}()
	}
	wg.Wait()
	fmt.Printf("%-40s %6d %8.1f%% %8.1f%% %8.2f%% %8.2f%% %9.1f\n", name, plays,
		100*float64(over)/float64(plays), 100*worst, 100*refused/float64(plays), 100*below/float64(plays),
		float64(commits)/float64(plays)/simLength.Seconds())
}
