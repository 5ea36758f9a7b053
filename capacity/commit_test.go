package capacity

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/settings"
)

// BenchmarkLeaderRecords measures the leader of three control instances by keyed requests a second, each of which is
// two commits. The entry that has them recorded is on the far side, as are the followers.
func BenchmarkLeaderRecords(b *testing.B) {
	benchmarkRecords(b, settings.DefaultControl().Timing.Election)
}

// BenchmarkFollowerRecords is BenchmarkLeaderRecords for a follower.
func BenchmarkFollowerRecords(b *testing.B) {
	benchmarkRecords(b, slowElection)
}

// replicas is the size of the group whose commits are measured.
const replicas = 3

func benchmarkRecords(b *testing.B, election time.Duration) {
	b.Helper()
	for b.Loop() {
		t := newTable(b, "request")
		rig, done := newRig(b)
		group, err := freeAddresses(replicas)
		t.must(err)
		folder := b.TempDir()
		own := controlSettings(0, group, folder, election)
		c, err := newControl(own, rig.Net)
		t.must(err)
		rig.Run(c.Run)
		far := Order{Do: doControls, First: 1, Count: replicas - 1, Controls: group, Folder: folder}
		far.Leads = election == slowElection
		_, err = rig.Far.Do(far)
		t.must(err)
		time.Sleep(settle)
		for n, rate := range []float64{100, 200, 400, 800} {
			measureCommits(t, rig, group, n, rate, own.DataDir)
		}
		done()
		t.report()
	}
}

func measureCommits(t *table, rig *Rig, group []string, n int, each float64, folder string) {
	t.b.Helper()
	const spread = 1 << 20 // of the keys of one rate
	disk := diskBytes(t.b, folder)
	start := time.Now()
	rate, err := rig.Over(func() error {
		reply, err := rig.Far.Do(Order{
			Do: doPropose, Controls: group, First: (n + 1) * spread, Rate: each, Seconds: window.Seconds(),
		})
		if err == nil {
			require.Zero(t.b, reply.Failed, "requests weren't recorded")
		}
		return err
	})
	t.must(err)
	units := each * window.Seconds() / time.Since(start).Seconds()
	t.addRate(units, "", rate)
	t.add(units, "journal-B/s", (diskBytes(t.b, folder)-disk)/time.Since(start).Seconds())
}

// diskBytes is the size of all files of a folder.
func diskBytes(b *testing.B, folder string) (size float64) {
	b.Helper()
	err := filepath.Walk(folder, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			size += float64(info.Size())
		}
		return nil
	})
	require.NoError(b, err)
	return size
}
