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

// reportRuns is the environment variable with the number of simulations of each kind in the report. The report is
// skipped if it is unset.
const reportRuns = "CARAWAYPITCH_QUOTA_REPORT"

// belowCap is a demand by phase, as a multiple of the cap's rate, that is always within the cap.
var belowCap = []float64{0.9, 0.9, 0.9, 0.5, 1, 0.5, 1, 0.5, 1, 0.5, 1, 0.5, 1}

// TestReport prints, for each kind of fault alone and for combinations, how often and by how much caps are overrun, the
// refused fraction under a demand beyond the cap and under one within it, and the commits per second. It is run by
// hand.
func TestReport(t *testing.T) {
	runs, err := strconv.Atoi(os.Getenv(reportRuns))
	if err != nil {
		t.Skipf("%s is not a number of simulations", reportRuns)
	}
	fmt.Printf("%-40s %6s %9s %9s %9s %9s %9s\n", "faults", "runs", "overrun", "worst", "refused", "below", "commits")
	for _, kind := range append([]string{"none"}, simFaults...) {
		reportKind(kind, runs, func(rng *rand.Rand) []simFault {
			if kind == "none" {
				return nil
			}
			return []simFault{drawFault(rng, kind)}
		})
	}
	reportKind("four of any kind", 4*runs, func(rng *rand.Rand) []simFault {
		var faults []simFault
		for range 4 {
			faults = append(faults, drawFault(rng, simFaults[rng.IntN(len(simFaults))]))
		}
		return faults
	})
}

func drawFault(rng *rand.Rand, kind string) simFault {
	return simFault{
		kind:     kind,
		at:       5*time.Second + time.Duration(rng.IntN(15000))*time.Millisecond,
		duration: 200*time.Millisecond + time.Duration(rng.IntN(6000))*time.Millisecond,
		index:    rng.IntN(8),
	}
}

// reportKind runs simulations in parallel and prints one line.
func reportKind(name string, runs int, faults func(*rand.Rand) []simFault) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	overruns, worst, refused, below, commits := 0, 0.0, 0.0, 0.0, 0
	slots := make(chan struct{}, 4)
	for i := range runs {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
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
			calmSim := newSim(calm)
			calmSim.run()
			s := newSim(plan)
			s.run()
			overrun, found := s.worstOverrun()
			mu.Lock()
			defer mu.Unlock()
			refused += s.refused / s.requested
			below += calmSim.refused / calmSim.requested
			commits += s.commits
			if found {
				overruns++
				worst = max(worst, overrun.used/overrun.allowed-1)
			}
		}()
	}
	wg.Wait()
	fmt.Printf("%-40s %6d %8.1f%% %8.1f%% %8.2f%% %8.2f%% %9.1f\n", name, runs,
		100*float64(overruns)/float64(runs), 100*worst, 100*refused/float64(runs), 100*below/float64(runs),
		float64(commits)/float64(runs)/simLength.Seconds())
}
