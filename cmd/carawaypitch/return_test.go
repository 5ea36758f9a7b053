package main

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load of a return of service, and its bound, counted from the start of the last process.
const (
	returnRate     = 100             // calls per second, nine of ten to one entry
	returnFull     = 5 * time.Second // after it nine tenths of the calls are answered
	returnDeadline = time.Second
)

// returnLoad makes calls over new connections at a fixed rate and notes when they were sent and whether they were answered.
type returnLoad struct {
	*cluster
	mu    sync.Mutex
	calls []returnCall
}

type returnCall struct {
	at       time.Time
	answered bool
}

// run calls until ctx ends.
func (l *returnLoad) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second / returnRate)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		calls.Go(func() {
			at := time.Now()
			entry := l.entryURLs[0]
			if n%10 == 9 {
				entry = l.entryURLs[1]
			}
			got, err := caller{entry: entry, key: l.callerKey}.post("/v1/services/registry/check", map[string]string{
				"Carawaypitch-Class": "gate-check", "Carawaypitch-Deadline-Ms": strconv.Itoa(int(returnDeadline.Milliseconds())),
			}, `{"pass": "ZG-1"}`)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.calls = append(l.calls, returnCall{at, err == nil && got.Status == http.StatusOK})
		})
	}
}

// loseAll kills all processes and starts them again, control instances in the order given and the others meanwhile. lost are the
// numbers of the control instances that lose their disk.
func (l *returnLoad) loseAll(down time.Duration, order, lost []int) {
	var others []*process
	for _, group := range [][]*process{l.entries, l.agents, l.engines} {
		others = append(others, group...)
	}
	for _, p := range append(others, l.controls...) {
		p.kill()
	}
	for _, i := range lost {
		folder := filepath.Join(l.folder, "control-"+strconv.Itoa(i+1))
		require.NoError(l.t, os.RemoveAll(folder))
		require.NoError(l.t, os.MkdirAll(folder, 0o700))
	}
	time.Sleep(down)
	for n, p := range others {
		if n*len(order)%len(others) < len(order) && len(order) > 0 {
			l.controls[order[0]].start()
			order = order[1:]
		}
		p.start()
	}
	for _, i := range order {
		l.controls[i].start()
	}
}

// served returns how many calls of a span were answered, and how many were sent.
func (l *returnLoad) served(from, to time.Time) (answered, sent int, first time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.calls {
		if c.at.Before(from) || !c.at.Before(to) {
			continue
		}
		sent++
		if c.answered {
			answered++
			if first.IsZero() || c.at.Before(first) {
				first = c.at
			}
		}
	}
	return answered, sent, first
}

// Guards against a deployment that stays out of service, or serves little, after all processes were lost while most callers reach
// one entry: with all disks kept, with one lost, and after losses in series.
func TestServiceReturnsAfterLossOfAllUnderSkew(t *testing.T) {
	for name, c := range map[string]struct {
		order, lost []int
		losses      int
	}{
		"disks kept":       {order: []int{0, 1, 2}, losses: 1},
		"one disk lost":    {order: []int{2, 0, 1}, lost: []int{1}, losses: 1},
		"losses in series": {order: []int{1, 2, 0}, losses: 3},
	} {
		t.Run(name, func(t *testing.T) {
			l := &returnLoad{cluster: startCluster(t)}
			ctx, stop := context.WithCancel(t.Context())
			var load sync.WaitGroup
			load.Go(func() { l.run(ctx) })
			time.Sleep(2 * time.Second)
			var back time.Time
			for n := range c.losses {
				if n > 0 {
					time.Sleep(time.Second)
				}
				l.loseAll(500*time.Millisecond, c.order, c.lost)
				back = time.Now()
			}
			time.Sleep(returnFull + 2*time.Second)
			stop()
			load.Wait()
			_, _, first := l.served(back, back.Add(time.Minute))
			answered, sent, _ := l.served(back.Add(returnFull), back.Add(returnFull+2*time.Second))
			t.Logf("first answer to a call of %s after the return; %d of %d answered from %s on", first.Sub(back).Round(time.Millisecond), answered, sent, returnFull)
			require.False(t, first.IsZero())
			require.Less(t, first.Sub(back), returnFull)
			require.GreaterOrEqual(t, 10*answered, 9*sent, "%d of %d", answered, sent)
			require.True(t, strings.Contains(l.entries[0].log.String(), "phase=answered"), "the log tells when service returned")
		})
	}
}
