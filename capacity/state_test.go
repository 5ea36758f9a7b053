package capacity

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// records is a state that a benchmark fills.
type records struct {
	t     *table
	state *state.State
	index uint64
}

func newRecords(t *table) *records {
	r := &records{t: t, state: state.New()}
	r.apply(&wire.Command{Kind: &wire.Command_RegisterEntry{RegisterEntry: &wire.RegisterEntry{
		Entry: &wire.EntryRecord{Entry: proposer, Incarnation: entryIncarnation},
	}}})
	return r
}

// apply decodes and applies a command, as a replica does both.
func (r *records) apply(command *wire.Command) {
	r.t.b.Helper()
	command.UnixMs = 1_700_000_000_000 + r.index
	data, err := proto.Marshal(command)
	r.t.must(err)
	decoded := new(wire.Command)
	r.t.must(proto.Unmarshal(data, decoded))
	r.index++
	if result := r.state.Apply(r.index, decoded); result.GetCode() != 0 {
		r.t.b.Fatal(result.GetMessage())
	}
}

func (r *records) operation(i int) {
	for _, command := range recordCommands(i) {
		r.apply(command)
	}
}

func (r *records) class(i int) {
	r.apply(&wire.Command{Kind: &wire.Command_PutClass{PutClass: &wire.PutClass{
		Class:  &wire.Class{Name: fmt.Sprintf("class-%04d", i), Tier: 2, DeadlineMs: 20_000, Kind: settings.KindModel, Preempt: settings.PreemptAllowed},
		Change: &wire.OperatorChange{},
	}}})
}

func (r *records) agent(i int) {
	r.apply(&wire.Command{Kind: &wire.Command_RegisterAgent{
		RegisterAgent: &wire.RegisterAgent{Agent: agentRecord(i, "10.20.30.40:7100")},
	}})
}

func (r *records) entry(i int) {
	r.apply(&wire.Command{Kind: &wire.Command_RegisterEntry{RegisterEntry: &wire.RegisterEntry{Entry: &wire.EntryRecord{
		Entry: fmt.Sprintf("entry-%04d", i), Incarnation: 1, AvailabilityZone: "zone-1",
	}}}})
}

// BenchmarkState measures what records of each kind take: in memory, in a snapshot, in a full update to a client, and
// in time to apply.
func BenchmarkState(b *testing.B) {
	kinds := []struct {
		name  string
		sizes []int
		add   func(*records, int)
	}{
		{"operation", []int{5000, 10_000, 20_000, 40_000}, (*records).operation},
		{"class", []int{25, 50, 100, 200}, (*records).class},
		{"agent", []int{200, 400, 800, 1700}, (*records).agent},
		{"entry", []int{50, 100, 200, 400}, (*records).entry},
	}
	for _, kind := range kinds {
		b.Run(kind.name, func(b *testing.B) {
			for b.Loop() {
				t := newTable(b, kind.name)
				for _, size := range kind.sizes {
					measureRecords(t, size, kind.add)
				}
				t.report()
			}
		})
	}
}

// snapshots is how many snapshots one measurement takes.
const snapshots = 10

func measureRecords(t *table, size int, add func(*records, int)) {
	t.b.Helper()
	before := Memory()
	r := newRecords(t)
	each := nanoseconds(t, size, func(i int) { add(r, i) })
	t.add(float64(size), "apply-CPU-us", each*float64(size)/1000)
	t.add(float64(size), "memory-B", Memory()-before)
	var data []byte
	took := nanoseconds(t, snapshots, func(int) {
		var err error
		data, err = proto.Marshal(r.state.Snapshot())
		t.must(err)
	})
	t.add(float64(size), "snapshot-B", float64(len(data)))
	t.add(float64(size), "snapshot-CPU-us", took/1000)
	update := proto.Size(r.state.DirectorySince(0)) + proto.Size(r.state.ConfigSince(0))
	t.add(float64(size), "update-B", float64(update))
}

// BenchmarkKeyring measures the memory that an entry needs for organisations and the time to find a known key.
func BenchmarkKeyring(b *testing.B) {
	for b.Loop() {
		t := newTable(b, "organisation")
		for _, size := range []int{50, 100, 220, 440} {
			measureKeyring(t, size)
		}
		t.report()
	}
}

func measureKeyring(t *table, size int) {
	t.b.Helper()
	var members []settings.Organisation
	for i := range size {
		members = append(members, settings.Organisation{
			Name:       fmt.Sprintf("organisation-%03d", i),
			KeyDigests: []string{settings.NewDigest(fmt.Sprint(callerKey, i), salt())},
		})
	}
	before := Memory()
	keys, err := settings.NewKeyring(members)
	t.must(err)
	t.add(float64(size), "memory-B", Memory()-before)
	runtime.KeepAlive(members)
	const finds = 20_000
	keys.Find(fmt.Sprint(callerKey, 0))
	const strangers = 500
	t.add(float64(size), "known-key-ns", nanoseconds(t, finds, func(int) { keys.Find(fmt.Sprint(callerKey, 0)) }))
	t.add(float64(size), "unknown-key-ns", nanoseconds(t, strangers, func(int) { keys.Find("a stranger's key") }))
}
