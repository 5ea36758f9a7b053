package replica_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/carawaypitch/carawaypitch/quorum/replica"
)

// directTransport delivers messages without a network, to the replica of each
// instance. The map must be complete before a replica runs.
type directTransport map[string]*replica.Replica

// Send implements replica.Transport.
func (t directTransport) Send(to quorum.ID, msgs []*quorumpb.Message) {
	for _, m := range msgs {
		t[to.Instance()].Deliver(m)
	}
}

// countingStateMachine counts entries; its snapshots have a constant size of
// 64 KiB.
type countingStateMachine struct{ applied int }

func (c *countingStateMachine) Apply(uint64, []byte) []byte  { c.applied++; return nil }
func (c *countingStateMachine) Snapshot() ([]byte, error)    { return bytes.Repeat([]byte{1}, 1<<16), nil }
func (c *countingStateMachine) Restore(uint64, []byte) error { return nil }

// runGroup runs replicas on real disks until the benchmark ends. It returns the
// leader and the directories of all replicas.
func runGroup(b *testing.B, size int) (leader *replica.Replica, dirs []string) {
	transport := directTransport{}
	var members []replica.Member
	for i := range size {
		instance := fmt.Sprint("i", i)
		dir := filepath.Join(b.TempDir(), instance)
		r, err := replica.New(replica.Config{
			Instance: instance, Dir: dir, Transport: transport, StateMachine: &countingStateMachine{},
		})
		require.NoError(b, err)
		transport[instance] = r
		dirs = append(dirs, dir)
		members = append(members, replica.Member{ID: r.ID(), Voter: true})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, r := range transport {
		require.NoError(b, r.Bootstrap(members))
		running.Go(func() { _ = r.Run(ctx) })
	}
	for {
		for _, r := range transport {
			if _, err := r.Read(ctx); err == nil {
				return r, dirs
			}
		}
		time.Sleep(replica.DefaultTickInterval)
	}
}

// payload has the size of a typical operation record, 200 bytes.
var payload = bytes.Repeat([]byte{7}, 200)

// BenchmarkCommit measures commits on real disks, where each write is synced.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, proposers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("replicas=%d/proposers=%d", size, proposers), func(b *testing.B) {
				leader, _ := runGroup(b, size)
				before := leader.Status().Counters.Syncs
				b.ResetTimer()
				var started atomic.Int64
				var workers sync.WaitGroup
				for range proposers {
					workers.Go(func() {
						for started.Add(1) <= int64(b.N) {
							if _, err := leader.Propose(context.Background(), payload); err != nil {
								b.Error(err)
								return
							}
						}
					})
				}
				workers.Wait()
				b.StopTimer()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
				b.ReportMetric(float64(b.N)/float64(leader.Status().Counters.Syncs-before), "commits/sync")
			})
		}
	}
}

// BenchmarkRead measures linearizable reads at the leader of three replicas.
func BenchmarkRead(b *testing.B) {
	leader, _ := runGroup(b, 3)
	b.SetParallelism(16)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, err := leader.Read(context.Background()); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkTenThousandChanges reports the memory and the disk space for each
// change that one of three replicas uses after 10,000 changes, with a state of
// 64 KiB.
func BenchmarkTenThousandChanges(b *testing.B) {
	const changes = 10_000
	for range b.N {
		leader, dirs := runGroup(b, 3)
		heap := heapBytes()
		var started atomic.Int64
		var workers sync.WaitGroup
		for range 64 {
			workers.Go(func() {
				for started.Add(1) <= changes {
					if _, err := leader.Propose(context.Background(), payload); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
		workers.Wait()
		b.ReportMetric(float64(heapBytes()-heap)/3/changes, "heap-B/change")
		b.ReportMetric(float64(diskBytes(b, dirs[0]))/changes, "disk-B/change")
	}
}

// heapBytes returns the size of the live heap, in bytes.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// diskBytes returns the total size of the files in dir, in bytes.
func diskBytes(b *testing.B, dir string) int64 {
	var size int64
	files, err := os.ReadDir(dir)
	require.NoError(b, err)
	for _, f := range files {
		info, err := f.Info()
		require.NoError(b, err)
		size += info.Size()
	}
	return size
}
