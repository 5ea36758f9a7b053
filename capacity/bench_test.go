package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// window is how long a daemon is watched at one size, settle how long it rests before.
const (
	window = 4 * time.Second
	settle = 1500 * time.Millisecond
)

// table collects measurements at several sizes and reports their lines.
type table struct {
	b      *testing.B
	size   string // what the sizes count
	names  []string
	points map[string][]Point
}

func newTable(b *testing.B, size string) *table {
	b.Helper()
	return &table{b: b, size: size, points: make(map[string][]Point)}
}

// add notes a cost at a size.
func (t *table) add(size float64, name string, cost float64) {
	if t.points[name] == nil {
		t.names = append(t.names, name)
	}
	t.points[name] = append(t.points[name], Point{size, cost})
}

// report prints each measurement and each line. A unit "X" is reported as the metric "X/size".
func (t *table) report() {
	t.b.Helper()
	t.b.ReportMetric(0, "ns/op")
	for _, name := range t.names {
		for _, p := range t.points[name] {
			t.b.Logf("%-20s %8.0f %s  %14.3f", name, p.X, t.size, p.Y)
		}
		line := Fit(t.points[name])
		t.b.Logf("%-20s slope %.4g a %s, at 0 %.4g, residual %.1f %%", name, line.Slope, t.size, line.Intercept, 100*line.Residual)
		t.b.ReportMetric(line.Slope, name+"/"+t.size)
	}
}

// addRate notes a rate in units that are easy to read.
func (t *table) addRate(size float64, prefix string, rate Rate) {
	t.add(size, prefix+"CPU-ms/s", 1000*rate.Cores)
	t.add(size, prefix+"in-B/s", rate.In)
	t.add(size, prefix+"out-B/s", rate.Out)
}

// newRig starts a rig that ends with done.
func newRig(b *testing.B) (rig *Rig, done func()) {
	b.Helper()
	rig, err := NewRig()
	require.NoError(b, err)
	return rig, func() { require.NoError(b, rig.Close()) }
}

func (t *table) must(err error) {
	t.b.Helper()
	require.NoError(t.b, err)
}

// nanoseconds returns the processor time of one call of work, over all calls.
func nanoseconds(t *table, calls int, work func(n int)) float64 {
	t.b.Helper()
	start, err := CPUTime()
	t.must(err)
	for n := range calls {
		work(n)
	}
	end, err := CPUTime()
	t.must(err)
	return float64((end - start).Nanoseconds()) / float64(calls)
}
