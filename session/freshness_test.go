package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const bound = 3 * time.Second

// at is a moment of a test, in seconds after its start.
func at(seconds float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// report is one event: what an instance did, or a confirmed poll.
type report struct {
	instance  int
	contact   Reachability
	confirmed bool
	sent, at  float64
}

func (r report) apply(f *Freshness) {
	switch {
	case r.confirmed:
		f.RecordAnswer(r.instance, at(r.sent), at(r.at))
		f.RecordConfirmation(at(r.sent), at(r.at))
	case r.contact == Answering:
		f.RecordAnswer(r.instance, at(r.sent), at(r.at))
	default:
		f.RecordRefusal(r.instance, at(r.at))
	}
}

// Symptom: an entry that is cut off goes on with a configuration that was replaced, or one that isn't cut off stops.
// Sequence: control instances answer, refuse or fall silent, in any combination.
// Cause: a rule that takes silence for an answer, or a dead process for a silent one.
func TestCutOffRule(t *testing.T) {
	confirmed := func(instance int, sent, at float64) report {
		return report{instance: instance, confirmed: true, sent: sent, at: at}
	}
	answered := func(instance int, sent, at float64) report {
		return report{instance: instance, contact: Answering, sent: sent, at: at}
	}
	refused := func(instance int, at float64) report {
		return report{instance: instance, contact: Refusing, at: at}
	}
	cases := []struct {
		name      string
		instances int
		reports   []report
		at        float64
		cutOff    bool
	}{
		{"just started", 3, nil, 3, false},
		{"nobody was ever heard", 3, nil, 3.1, true},
		{"all answer", 3, []report{confirmed(0, 5, 5), confirmed(1, 5, 5), confirmed(2, 5, 5)}, 8, false},
		{"all silent for the bound", 3, []report{confirmed(0, 0, 0)}, 3, false},
		{"all silent for longer", 3, []report{confirmed(0, 0, 0)}, 3.1, true},
		{"one silent", 3, []report{answered(0, 2, 2), answered(1, 2, 2), answered(0, 5, 5), answered(1, 5, 5)}, 6, false},
		{"two silent, one can't confirm", 3, []report{answered(0, 5, 5)}, 6, true},
		{"two silent, one confirms", 3, []report{confirmed(0, 2, 2), confirmed(0, 5, 5)}, 6, false},
		{"two silent, one confirmed too long ago", 3, []report{confirmed(0, 2, 2), answered(0, 6, 6)}, 6, true},
		{"all refuse", 3, []report{refused(0, 2), refused(1, 2), refused(2, 2), refused(0, 5), refused(1, 5), refused(2, 5)}, 6, false},
		{"two refuse, one silent", 3, []report{refused(0, 2), refused(1, 2), refused(0, 5), refused(1, 5)}, 6, false},
		{"one refuses, two silent", 3, []report{refused(0, 5)}, 6, true},
		{"refused long ago", 3, []report{refused(0, 1), refused(1, 1), refused(2, 1)}, 4.1, true},
		{"the only one refuses", 1, []report{refused(0, 5)}, 5, true},
		{"the only one refuses from the start", 1, []report{refused(0, 2), refused(0, 4)}, 5, false},
		{"two of four silent", 4, []report{answered(0, 2, 2), answered(1, 2, 2), answered(0, 5, 5), answered(1, 5, 5)}, 5, false},
		{"three of four silent", 4, []report{answered(0, 2, 2), answered(0, 5, 5)}, 5, true},
		{"an answer counts from its poll", 3, []report{answered(0, 0, 2.9), answered(1, 0, 2.9)}, 3.1, true},
		{"back by an answer alone", 3, []report{answered(0, 9, 9), answered(1, 9, 9), answered(2, 9, 9)}, 9, true},
		{"back by refusals", 3, []report{refused(0, 9), refused(1, 9), refused(2, 9)}, 9, true},
		{"back by a confirmed poll", 3, []report{answered(0, 9, 9), confirmed(1, 9, 9)}, 9, false},
		{"not back by a late confirmation", 3, []report{answered(0, 9, 9), answered(1, 9, 9), confirmed(2, 0, 9)}, 9, true},
		{"back by a confirmed poll from before", 3, []report{confirmed(0, 0, 9), confirmed(1, 0, 9)}, 9, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := NewFreshness(test.instances, bound, at(0))
			for _, r := range test.reports {
				r.apply(f)
			}
			require.Equal(t, test.cutOff, f.CutOff(at(test.at)))
			require.Equal(t, test.cutOff, f.CutOff(at(test.at)), "asking changes nothing")
		})
	}
}

func TestContacts(t *testing.T) {
	f := NewFreshness(3, bound, at(0))
	f.RecordAnswer(0, at(2), at(2))
	f.RecordRefusal(1, at(2))
	require.Equal(t, Answering, f.Reachability(0, at(4)))
	require.Equal(t, Refusing, f.Reachability(1, at(4)))
	require.Equal(t, Silent, f.Reachability(2, at(4)))
	require.Equal(t, 1, f.SilentInstances(at(4)))
	f.RecordAnswer(0, at(1), at(4))
	require.Equal(t, Answering, f.Reachability(0, at(5)), "an older answer takes nothing back")
	require.Equal(t, "silent", f.Reachability(0, at(9)).String())
	require.False(t, f.IsConfirmed())
	f.RecordConfirmation(at(4), at(4))
	f.RecordConfirmation(at(3), at(4))
	require.True(t, f.IsConfirmed())
	require.Equal(t, at(4), f.LastConfirmed())
}
