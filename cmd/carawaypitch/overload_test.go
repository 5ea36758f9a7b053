package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load of an entry short of its processor.
const (
	overloadShare    = 0.1 // of the time for which the entry runs
	overloadRate     = 800 // calls per second, nine of ten to that entry
	overloadDeadline = 600 * time.Millisecond
	overloadSeconds  = 6
	overloadSettle   = 2 // seconds after which the entry serves what it reads
	overloadTries    = 3 // connections for one call
	overloadRetry    = 50 * time.Millisecond
)

// throttle lets a process run for a share of the time only, in a fixed rhythm, until ctx ends.
func (p *process) throttle(ctx context.Context, share float64) {
	const period = 20 * time.Millisecond
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.signal(syscall.SIGCONT)
		time.Sleep(time.Duration(share * float64(period)))
		p.signal(syscall.SIGSTOP)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	p.signal(syscall.SIGCONT)
}

// overloadCounts counts how calls ended. A call is served if the first attempt that was read is answered in time.
type overloadCounts struct {
	mu                                    sync.Mutex
	servedHere, served, notServed, unread int // servedHere: by the entry short of its processor
}

func (c *overloadCounts) add(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

// call makes a call over new connections until one of them isn't closed unread.
func (c *overloadCounts) call(cl *cluster, n int, body []byte) {
	ctx, stop := context.WithTimeout(context.Background(), 2*overloadDeadline)
	defer stop()
	for try := range overloadTries {
		isHere := (n+try)%10 != 9
		url := cl.entryURLs[1]
		if isHere {
			url = cl.entryURLs[0]
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/services/registry/check", bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		request.Header.Set("Authorization", "Bearer "+cl.callerKey)
		request.Header.Set("Carawaypitch-Class", "gate-check")
		request.Header.Set("Carawaypitch-Deadline-Ms", strconv.Itoa(int(overloadDeadline.Milliseconds())))
		sent := time.Now()
		got, err := callerClient.Do(request)
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			time.Sleep(overloadRetry)
			continue
		}
		if err == nil {
			_, err = io.Copy(io.Discard, got.Body)
			_ = got.Body.Close()
		}
		switch {
		case err != nil || got.StatusCode != http.StatusOK || time.Since(sent) > overloadDeadline:
			c.add(&c.notServed)
		case isHere:
			c.add(&c.servedHere)
		default:
			c.add(&c.served)
		}
		return
	}
	c.add(&c.unread)
}

// Guards against an entry that reads more new connections than its processor can serve, so that it serves none of them in
// time: most callers reach one entry that runs for a tenth of the time.
func TestEntryShortOfProcessorServesWhatItReads(t *testing.T) {
	t.Setenv("GOMAXPROCS", "1")
	cl := startCluster(t)
	body := fmt.Appendf(nil, `{"pass": "%s"}`, bytes.Repeat([]byte("x"), 3000))
	ctx, stop := context.WithCancel(t.Context())
	var throttled, calls sync.WaitGroup
	throttled.Go(func() { cl.entries[0].throttle(ctx, overloadShare) })
	counts := make([]overloadCounts, overloadSeconds)
	ticker := time.NewTicker(time.Second / overloadRate)
	defer ticker.Stop()
	for second := range counts {
		for n := range overloadRate {
			<-ticker.C
			calls.Go(func() { counts[second].call(cl, n, body) })
		}
	}
	calls.Wait()
	stop()
	throttled.Wait()
	read, served := 0, 0
	for second := range counts {
		c := &counts[second]
		t.Logf("second %d: served %d by the entry and %d by the other, not served %d, never read %d", second, c.servedHere, c.served, c.notServed, c.unread)
		if second < overloadSettle {
			continue
		}
		require.Positive(t, c.servedHere, "second %d", second)
		read += c.servedHere + c.served + c.notServed
		served += c.servedHere + c.served
	}
	require.GreaterOrEqual(t, 4*served, 3*read, "%d served of %d read", served, read)
}
