package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// intakeLoad is a model of an entry: connections that are read wait for those before them, which take the processor in turn.
type intakeLoad struct {
	intake   intake
	now      time.Time
	capacity float64 // connections per second
	backlog  []time.Time
	begun    float64
	reads    []intakeRead
}

// intakeRead is a connection that was read.
type intakeRead struct {
	at     time.Time
	waited time.Duration
}

// run offers connections at a rate per second. It returns how many of them were admitted.
func (l *intakeLoad) run(d time.Duration, rate float64) (admitted int) {
	const step = time.Millisecond
	began, offered := l.now, 0
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(step)
		for due := int(rate * l.now.Sub(began).Seconds()); offered < due; offered++ {
			if l.intake.admits(l.now) {
				admitted++
				l.backlog = append(l.backlog, l.now)
			}
		}
		l.begun = min(l.begun+l.capacity*step.Seconds(), float64(len(l.backlog)))
		for ; l.begun >= 1; l.begun-- {
			waited := l.now.Sub(l.backlog[0])
			l.backlog = l.backlog[1:]
			l.intake.observe(l.now, waited)
			l.reads = append(l.reads, intakeRead{l.now, waited})
		}
	}
	return admitted
}

// longestWait returns the longest wait of those read since a time.
func (l *intakeLoad) longestWait(since time.Time) time.Duration {
	var longest time.Duration
	for _, r := range l.reads {
		if r.at.After(since) {
			longest = max(longest, r.waited)
		}
	}
	return longest
}

// Guards against an entry that reads so many new connections that each waits longer than its caller does, one that turns away more
// than its excess without end, and one that goes on turning away after the overload.
func TestIntakeFollowsProcessor(t *testing.T) {
	for _, factor := range []float64{1.2, 3, 10} {
		l := &intakeLoad{now: time.Unix(1_700_000_000, 0), capacity: 200}
		require.Equal(t, 200, l.run(2*time.Second, 100), "no overload")
		l.run(5*time.Second, factor*l.capacity)
		settled := l.now
		admitted := l.run(10*time.Second, factor*l.capacity)
		require.Less(t, l.longestWait(settled), 300*time.Millisecond, "factor %v", factor)
		require.Greater(t, admitted, int(0.7*10*l.capacity), "factor %v", factor)
		l.run(3*time.Second, 100)
		require.Equal(t, 200, l.run(2*time.Second, 100), "after the overload, factor %v", factor)
	}
}

// Guards against an entry that turns connections away because of a burst, or a moment in which its process stood still.
func TestIntakeBearsBurstsAndPauses(t *testing.T) {
	l := &intakeLoad{now: time.Unix(1_700_000_000, 0), capacity: 1000}
	l.run(time.Second, 100)
	require.Equal(t, 100, l.run(50*time.Millisecond, 2000), "burst")
	require.Equal(t, 100, l.run(time.Second, 100))
	l.now = l.now.Add(3 * time.Second)
	require.Equal(t, 300, l.run(10*time.Millisecond, 30_000), "those that came while the process stood still")
	require.Equal(t, 200, l.run(2*time.Second, 100))
}

// Guards against an entry that reads no connection at all, whatever else uses its processor up.
func TestIntakeAlwaysReadsSomeConnections(t *testing.T) {
	l := &intakeLoad{now: time.Unix(1_700_000_000, 0), capacity: 2}
	l.run(10*time.Second, 500)
	require.InDelta(t, 10*leastIntake, l.run(10*time.Second, 500), leastIntake)
}
