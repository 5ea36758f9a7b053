package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// Usage is what this process has used up to a moment.
type Usage struct {
	At  time.Time
	CPU time.Duration // user and system time
	In  uint64        // bytes received, as counted by a Network
	Out uint64        // bytes sent
}

// Rate is the use over a time.
type Rate struct {
	Cores float64 // seconds of processor time a second
	In    float64 // bytes a second
	Out   float64 // bytes a second
}

// CPUTime returns the processor time that this process has used.
func CPUTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// Since returns the rate from an earlier moment to u.
func (u Usage) Since(earlier Usage) Rate {
	seconds := u.At.Sub(earlier.At).Seconds()
	return Rate{
		Cores: (u.CPU - earlier.CPU).Seconds() / seconds,
		In:    float64(u.In-earlier.In) / seconds,
		Out:   float64(u.Out-earlier.Out) / seconds,
	}
}

// Memory returns the heap in use after a collection and the stacks, in bytes. Two collections also empty the pools.
func Memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
