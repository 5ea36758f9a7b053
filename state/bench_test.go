package state

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

// benchmarkApply measures decoding and applying prepared commands, as a replica does for each log entry.
func benchmarkApply(b *testing.B, l *log, command func(i int) *wire.Command) {
	encoded := make([][]byte, b.N)
	for i := range encoded {
		data, err := proto.Marshal(command(i))
		if err != nil {
			b.Fatal(err)
		}
		encoded[i] = data
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, data := range encoded {
		cmd := new(wire.Command)
		if err := proto.Unmarshal(data, cmd); err != nil {
			b.Fatal(err)
		}
		l.index++
		l.state.Apply(l.index, cmd)
	}
}

// newUnboundedLog returns a log whose limit of operations is high enough for any number of benchmark iterations.
func newUnboundedLog(b *testing.B) *log {
	l := newLog(b)
	limits := DefaultLimits
	limits.Operations = 1 << 30
	l.state = newState(limits)
	l.accept(entry("e", 1))
	return l
}

func BenchmarkApplyPutClass(b *testing.B) {
	l := newUnboundedLog(b)
	benchmarkApply(b, l, func(i int) *wire.Command {
		cmd := putClass(class("gate-check"), uint64(i+1), fmt.Sprint("change-", i))
		if i == 0 {
			cmd.GetPutClass().Change.IfMatch = 0
		}
		return cmd
	})
}

func BenchmarkApplyBegin(b *testing.B) {
	l := newUnboundedLog(b)
	benchmarkApply(b, l, func(i int) *wire.Command { return begin(fmt.Sprint("key-", i), "e", 1, fmt.Sprint("request-", i)) })
}

func BenchmarkApplyBeginComplete(b *testing.B) {
	l := newUnboundedLog(b)
	body := string(make([]byte, 400))
	benchmarkApply(b, l, func(i int) *wire.Command {
		key, request := fmt.Sprint("key-", i/2), fmt.Sprint("request-", i/2)
		if i%2 == 0 {
			return begin(key, "e", 1, request)
		}
		return complete(key, request, 1, body)
	})
}

func BenchmarkApplyRegisterAgent(b *testing.B) {
	l := newUnboundedLog(b)
	benchmarkApply(b, l, func(i int) *wire.Command { return agent(fmt.Sprint("agent-", i%1700), uint64(i+1), typicalServer(i)) })
}

func BenchmarkApplyExpire(b *testing.B) {
	l := newUnboundedLog(b)
	for i := range b.N {
		l.accept(begin(fmt.Sprint("key-", i), "e", 1, "r"))
		l.accept(complete(fmt.Sprint("key-", i), "r", 1, "a"))
	}
	l.now++
	b.ReportAllocs()
	b.ResetTimer()
	for l.state.Counts().Operations > 0 {
		l.accept(expire(l.now))
	}
}

// BenchmarkSnapshot measures creating and encoding a snapshot of 100,000 records of keyed requests.
func BenchmarkSnapshot(b *testing.B) {
	l := newFilledLog(b, 100_000, 0, 0)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := proto.Marshal(l.state.Snapshot()); err != nil {
			b.Fatal(err)
		}
	}
}

// typicalServer returns a server record with all fields that agents usually set.
func typicalServer(i int) *wire.ServerRecord {
	s := readyServer(fmt.Sprint("server-", i), "model-a", "model-b")
	s.Kind, s.Address, s.Slots = KindModel, "10.20.30.40:9000", 64
	s.Capabilities = &wire.Capabilities{Fencing: "refuses", Kv: true, Resume: true, OnDisconnect: "cancels"}
	return s
}

// newFilledLog returns a log whose state holds the given numbers of completed operations, of classes, and of agents
// with one server each.
func newFilledLog(b *testing.B, operations, classes, agents int) *log {
	l := newUnboundedLog(b)
	body := string(make([]byte, 400))
	digest := make([]byte, 32)
	for i := range operations {
		key := fmt.Sprintf("0190a5b4-3c2d-7abc-8def-%012d", i)
		request := fmt.Sprintf("request-%012d", i)
		l.accept(begin(key, "e", 1, request, func(o *wire.BeginOperation) { o.Digest, o.Class = digest, "pass-issue" }))
		l.accept(complete(key, request, 1, body))
	}
	for i := range classes {
		l.accept(putClass(class(fmt.Sprint("class-", i)), 0, ""))
	}
	for i := range agents {
		l.accept(agent(fmt.Sprint("agent-", i), 1_700_000_000_000_000_000, typicalServer(i)))
	}
	return l
}

// BenchmarkBytes reports the size of one record in memory and in an encoded snapshot, in bytes.
func BenchmarkBytes(b *testing.B) {
	const records = 4000
	for _, test := range []struct {
		name                        string
		operations, classes, agents int
	}{{"operation", records, 0, 0}, {"class", 0, records, 0}, {"server", 0, 0, records}} {
		b.Run(test.name, func(b *testing.B) {
			var l *log
			before := heapBytes()
			for range b.N {
				l = newFilledLog(b, test.operations, test.classes, test.agents)
			}
			inMemory := heapBytes() - before
			data, err := proto.Marshal(l.state.Snapshot())
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(inMemory)/records, "heap-B/record")
			b.ReportMetric(float64(len(data))/records, "snapshot-B/record")
			runtime.KeepAlive(l)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkNoteCrash measures recording crashes of servers that ran five requests each, with the number of poison
// records at its limit.
func BenchmarkNoteCrash(b *testing.B) {
	s := New()
	for i := range uint64(b.N) {
		note := &wire.NoteCrash{Crash: &wire.Crash{Id: strconv.FormatUint(i, 10), Server: "model-1"}}
		for j := range uint64(5) {
			note.Ran = append(note.Ran, &wire.PoisonRecord{Organisation: "org-" + strconv.FormatUint(j, 10), Fingerprint: 5*i + j + 1})
		}
		s.Apply(i+1, &wire.Command{UnixMs: i, Kind: &wire.Command_NoteCrash{NoteCrash: note}})
	}
}
