package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// classInput is one call on one class: a read if change is empty, otherwise a put.
type classInput struct {
	change     string
	ifMatch    uint64
	deadlineMS int
}

// classOutput is what the caller observed. unknown means that a put may or may not have been applied.
type classOutput struct {
	unknown    bool
	accepted   bool
	version    uint64
	deadlineMS int
}

// classState is the state of the class in the model.
type classState struct {
	version    uint64
	deadlineMS int
}

// classModel states that a put with the version in force succeeds and returns a higher one, that any other put fails,
// and that a read returns what is in force. Versions are log indexes, which the model takes from the answers.
var classModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{classState{version: firstVersion, deadlineMS: 800}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(classState), input.(classInput), output.(classOutput)
		switch {
		case in.change == "":
			if out.unknown || out.version == s.version && out.deadlineMS == s.deadlineMS {
				return []any{s}
			}
			return nil
		case out.unknown && in.ifMatch != s.version:
			return []any{s}
		case out.unknown:
			// Applied with some higher version, or not applied. Only reads and later puts show which version.
			next := []any{s}
			for v := s.version + 1; v <= s.version+maxVersionGap; v++ {
				next = append(next, classState{v, in.deadlineMS})
			}
			return next
		case out.accepted:
			if in.ifMatch == s.version && out.version > s.version {
				return []any{classState{out.version, in.deadlineMS}}
			}
			return nil
		case in.ifMatch != s.version && out.version == s.version:
			return []any{s}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// firstVersion is the version of the initial class. The test sets it.
var firstVersion uint64

// maxVersionGap bounds the number of log entries between two changes of the class in these histories.
const maxVersionGap = 400

// Guards against two operators who both succeed with the same version, and against reads of an older class. They come
// about if the comparison of versions is not part of the replicated command, or if a leader that was replaced still
// answers reads. Operators race at all instances while instances are cut off in turn.
func TestConcurrentPutsAreLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { raceOperators(t, seed) })
		})
	}
}

func raceOperators(t *testing.T, seed uint64) {
	c := newCluster(t, 3, gateCheckClass())
	c.startAll()
	defer c.stopAll()
	var class classAnswer
	c.get(c.leader(), "/v1/classes/gate-check").decode(t, &class)
	firstVersion = class.Version

	const operators, calls = 4, 12
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for operator := range operators {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(operator)))
			seen := class.Version
			for i := range calls {
				n := c.instances[random.IntN(len(c.instances))]
				in := classInput{}
				if random.IntN(3) > 0 {
					in = classInput{change: fmt.Sprintf("%d-%d", operator, i), ifMatch: seen, deadlineMS: 1000 + operator*100 + i}
				}
				began := time.Since(start)
				out := callClass(c, n, in)
				op := porcupine.Operation{ClientId: operator, Input: in, Output: out, Call: int64(began), Return: int64(time.Since(start))}
				if out.unknown && in.change != "" {
					op.Return = int64(24 * time.Hour) // may be applied at any later time
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
				if out.version != 0 {
					seen = out.version
				}
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
		})
	}
	ctx, stop := context.WithCancel(t.Context())
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		injectPartitions(ctx, c, rand.New(rand.NewPCG(seed, 99)))
	}()
	wg.Wait()
	stop()
	<-faults
	accepted := 0
	for _, op := range history {
		if op.Output.(classOutput).accepted {
			accepted++
		}
	}
	require.NotZero(t, accepted, "no change was accepted, so the history checks nothing")
	require.True(t, porcupine.CheckOperations(classModel.ToModel(), history), "%v", history)
}

// callClass makes a call. If the answer is lost, it sends the change once more with the same id.
func callClass(c *cluster, n *instance, in classInput) classOutput {
	if in.change == "" {
		a := c.get(n, "/v1/classes/gate-check")
		if a.status != http.StatusOK {
			return classOutput{unknown: true}
		}
		return acceptedOutput(c.t, a)
	}
	for range 2 {
		a := c.put(n, "gate-check", classBody(in.deadlineMS), in.ifMatch, in.change)
		switch {
		case a.status == http.StatusOK:
			return acceptedOutput(c.t, a)
		case a.status == http.StatusConflict && a.code(c.t) == int(result.VersionConflict):
			var body struct {
				Version uint64 `json:"version"`
			}
			a.decode(c.t, &body)
			return classOutput{version: body.Version}
		}
	}
	return classOutput{unknown: true}
}

func acceptedOutput(t *testing.T, a answer) classOutput {
	var class classAnswer
	a.decode(t, &class)
	return classOutput{accepted: true, version: class.Version, deadlineMS: class.DeadlineMS}
}

// injectPartitions cuts one instance after another off from its peers, each for a while.
func injectPartitions(ctx context.Context, c *cluster, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		isolated := c.instances[random.IntN(len(c.instances))]
		for _, n := range c.instances {
			if n != isolated {
				c.net.Cut(isolated.host, n.host)
			}
		}
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		for _, n := range c.instances {
			c.net.Heal(isolated.host, n.host)
		}
	}
}
