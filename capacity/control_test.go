package capacity

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/operator"
	"github.com/carawaypitch/carawaypitch/settings"
)

// BenchmarkControlSessions measures a control instance that leads alone with the sessions of agents: at rest, and with
// changes of the configuration.
func BenchmarkControlSessions(b *testing.B) {
	for b.Loop() {
		t := newTable(b, "session")
		for _, sessions := range []int{50, 100, 200, 400} {
			measureSessions(t, sessions)
		}
		t.report()
	}
}

func measureSessions(t *table, sessions int) {
	t.b.Helper()
	rig, done := newRig(t.b)
	defer done()
	group, err := freeAddresses(1)
	t.must(err)
	c, err := newControl(controlSettings(0, group, t.b.TempDir(), settings.DefaultControl().Timing.Election), rig.Net)
	t.must(err)
	rig.Run(c.Run)
	before := Memory()
	_, err = rig.Far.Do(Order{Do: doSessions, Count: sessions, Controls: group})
	t.must(err)
	time.Sleep(settle)
	t.add(float64(sessions), "memory-B", Memory()-before)
	farBefore, err := rig.Far.Do(Order{Do: doUsage})
	t.must(err)
	rate, err := rig.Idle(window)
	t.must(err)
	farAfter, err := rig.Far.Do(Order{Do: doUsage})
	t.must(err)
	t.addRate(float64(sessions), "idle-", rate)
	t.add(float64(sessions), "idle-far-CPU-ms/s", float64(farAfter.CPU-farBefore.CPU)/1e6/window.Seconds())
	measureChanges(t, rig, sessions, "http://"+c.OperatorsAddr(), rate)
}

// measureChanges makes changes of a class and measures what each costs above the rest, and how long it takes until the
// last session has it, from the operator's call on.
func measureChanges(t *table, rig *Rig, sessions int, url string, rest Rate) {
	t.b.Helper()
	const changes = 8
	client := operator.New([]string{url}, operatorKey, nil)
	var slowest, total time.Duration
	start := time.Now()
	rate, err := rig.Over(func() error {
		for n := range changes {
			delay := changeOnce(t.b, rig, client, uint32(n))
			slowest, total = max(slowest, delay), total+delay
		}
		return nil
	})
	t.must(err)
	each := time.Since(start).Seconds() / changes
	t.add(float64(sessions), "change-CPU-ms", 1000*(rate.Cores-rest.Cores)*each)
	t.add(float64(sessions), "change-out-B", (rate.Out-rest.Out)*each)
	t.add(float64(sessions), "change-mean-ms", total.Seconds()*1000/changes)
	t.add(float64(sessions), "change-slowest-ms", slowest.Seconds()*1000)
}

// changePause lets a change pass before the next.
const changePause = 150 * time.Millisecond

func changeOnce(b *testing.B, rig *Rig, client *operator.Client, n uint32) time.Duration {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	classes, err := client.Classes(ctx)
	require.NoError(b, err)
	class := classes.Classes[0]
	class.DeadlineMS += n + 1
	asked := time.Now()
	change, err := client.PutClass(ctx, class, class.Version, operator.NewChangeID())
	require.NoError(b, err)
	reply, err := rig.Far.Do(Order{Do: doAwait, Version: change.Version})
	require.NoError(b, err)
	time.Sleep(changePause)
	return time.Unix(0, reply.UnixNano).Sub(asked)
}

// BenchmarkControlLoss measures how long beyond the bound on silence it takes until all others know that many instances
// are lost at once, as with an availability zone. The leader looks once a second.
func BenchmarkControlLoss(b *testing.B) {
	for b.Loop() {
		t := newTable(b, "instance")
		for _, lost := range []int{10, 20, 40, 80} {
			measureLoss(t, lost)
		}
		t.report()
	}
}

// lossSessions is how many sessions are left after a loss, lossExpire the bound on silence.
const (
	lossSessions = 120
	lossExpire   = 3 * time.Second
)

func measureLoss(t *table, lost int) {
	t.b.Helper()
	rig, done := newRig(t.b)
	defer done()
	group, err := freeAddresses(1)
	t.must(err)
	s := controlSettings(0, group, t.b.TempDir(), settings.DefaultControl().Timing.Election)
	s.Timing.ServerExpire = lossExpire
	c, err := newControl(s, rig.Net)
	t.must(err)
	rig.Run(c.Run)
	_, err = rig.Far.Do(Order{Do: doSessions, Count: lossSessions + lost, Controls: group})
	t.must(err)
	time.Sleep(settle)
	start := time.Now()
	last, err := rig.Far.Do(Order{Do: doLose, Count: lost})
	t.must(err)
	took := time.Unix(0, last.UnixNano).Sub(start)
	t.add(float64(lost), "known-after-ms", float64((took - lossExpire).Milliseconds()))
}
