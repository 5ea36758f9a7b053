package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testSilenceBound = 3 * time.Second

// atSecond returns the time that is the given number of seconds after the start of a test.
func atSecond(seconds float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// freshnessEvent is one event: an answer or refusal of an instance, or a confirmed poll.
type freshnessEvent struct {
	instance     int
	reachability Reachability
	confirmed    bool
	sent, at     float64
}

func (r freshnessEvent) apply(f *Freshness) {
	switch {
	case r.confirmed:
		f.RecordAnswer(r.instance, atSecond(r.sent), atSecond(r.at))
		f.RecordConfirmation(atSecond(r.sent), atSecond(r.at))
	case r.reachability == Answering:
		f.RecordAnswer(r.instance, atSecond(r.sent), atSecond(r.at))
	default:
		f.RecordRefusal(r.instance, atSecond(r.at))
	}
}

// Guards against an entry that goes on with a replaced configuration while it is cut off, or stops although it is not.
// Both follow when silence is taken for an answer, or a dead process for a silent one; the cases mix answers, refusals and
// silence of the control instances.
func TestCutOffRule(t *testing.T) {
	confirmed := func(instance int, sent, at float64) freshnessEvent {
		return freshnessEvent{instance: instance, confirmed: true, sent: sent, at: at}
	}
	answered := func(instance int, sent, at float64) freshnessEvent {
		return freshnessEvent{instance: instance, reachability: Answering, sent: sent, at: at}
	}
	refused := func(instance int, at float64) freshnessEvent {
		return freshnessEvent{instance: instance, reachability: Refusing, at: at}
	}
	cases := []struct {
		name      string
		instances int
		events    []freshnessEvent
		at        float64
		cutOff    bool
	}{
		{"just started", 3, nil, 3, false},
		{"no instance ever heard from", 3, nil, 3.1, true},
		{"all answer", 3, []freshnessEvent{confirmed(0, 5, 5), confirmed(1, 5, 5), confirmed(2, 5, 5)}, 8, false},
		{"all silent for the bound", 3, []freshnessEvent{confirmed(0, 0, 0)}, 3, false},
		{"all silent for longer", 3, []freshnessEvent{confirmed(0, 0, 0)}, 3.1, true},
		{"one silent", 3, []freshnessEvent{answered(0, 2, 2), answered(1, 2, 2), answered(0, 5, 5), answered(1, 5, 5)}, 6, false},
		{"two silent, one can't confirm", 3, []freshnessEvent{answered(0, 5, 5)}, 6, true},
		{"two silent, one confirms", 3, []freshnessEvent{confirmed(0, 2, 2), confirmed(0, 5, 5)}, 6, false},
		{"two silent, one confirmed too long ago", 3, []freshnessEvent{confirmed(0, 2, 2), answered(0, 6, 6)}, 6, true},
		{"all refuse", 3, []freshnessEvent{refused(0, 2), refused(1, 2), refused(2, 2), refused(0, 5), refused(1, 5), refused(2, 5)}, 6, false},
		{"two refuse, one silent", 3, []freshnessEvent{refused(0, 2), refused(1, 2), refused(0, 5), refused(1, 5)}, 6, false},
		{"one refuses, two silent", 3, []freshnessEvent{refused(0, 5)}, 6, true},
		{"refused longer ago than the bound", 3, []freshnessEvent{refused(0, 1), refused(1, 1), refused(2, 1)}, 4.1, true},
		{"the only one refuses", 1, []freshnessEvent{refused(0, 5)}, 5, true},
		{"the only one refuses from the start", 1, []freshnessEvent{refused(0, 2), refused(0, 4)}, 5, false},
		{"two of four silent", 4, []freshnessEvent{answered(0, 2, 2), answered(1, 2, 2), answered(0, 5, 5), answered(1, 5, 5)}, 5, false},
		{"three of four silent", 4, []freshnessEvent{answered(0, 2, 2), answered(0, 5, 5)}, 5, true},
		{"an answer counts from its poll", 3, []freshnessEvent{answered(0, 0, 2.9), answered(1, 0, 2.9)}, 3.1, true},
		{"no recovery by answers alone", 3, []freshnessEvent{answered(0, 9, 9), answered(1, 9, 9), answered(2, 9, 9)}, 9, true},
		{"no recovery by refusals", 3, []freshnessEvent{refused(0, 9), refused(1, 9), refused(2, 9)}, 9, true},
		{"recovery by a confirmed poll", 3, []freshnessEvent{answered(0, 9, 9), confirmed(1, 9, 9)}, 9, false},
		{"no recovery by a late confirmation", 3, []freshnessEvent{answered(0, 9, 9), answered(1, 9, 9), confirmed(2, 0, 9)}, 9, true},
		{"no recovery by a poll sent before the cut-off", 3, []freshnessEvent{confirmed(0, 0, 9), confirmed(1, 0, 9)}, 9, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := NewFreshness(test.instances, testSilenceBound, atSecond(0))
			for _, event := range test.events {
				event.apply(f)
			}
			require.Equal(t, test.cutOff, f.CutOff(atSecond(test.at)))
			require.Equal(t, test.cutOff, f.CutOff(atSecond(test.at)), "CutOff must not change the state")
		})
	}
}

func TestReachability(t *testing.T) {
	f := NewFreshness(3, testSilenceBound, atSecond(0))
	f.RecordAnswer(0, atSecond(2), atSecond(2))
	f.RecordRefusal(1, atSecond(2))
	require.Equal(t, Answering, f.Reachability(0, atSecond(4)))
	require.Equal(t, Refusing, f.Reachability(1, atSecond(4)))
	require.Equal(t, Silent, f.Reachability(2, atSecond(4)))
	require.Equal(t, 1, f.SilentInstances(atSecond(4)))
	f.RecordAnswer(0, atSecond(1), atSecond(4))
	require.Equal(t, Answering, f.Reachability(0, atSecond(5)), "an older answer must not replace a newer one")
	require.Equal(t, "silent", f.Reachability(0, atSecond(9)).String())
	require.False(t, f.IsConfirmed())
	f.RecordConfirmation(atSecond(4), atSecond(4))
	f.RecordConfirmation(atSecond(3), atSecond(4))
	require.True(t, f.IsConfirmed())
	require.Equal(t, atSecond(4), f.LastConfirmed())
}
