package crowd

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/carawaypitch/carawaypitch/pause"
)

// samplePause is the time between two observations of a process.
const samplePause = 20 * time.Millisecond

// Process is an observed process, with the most that it has held. It is read from /proc, so this works on Linux only.
type Process struct {
	PID     int
	Address string // IP:port of its listener

	Memory      atomic.Int64 // bytes, resident and unread
	Unread      atomic.Int64 // bytes that have arrived at Address and were not read
	Descriptors atomic.Int64
}

// Watch records what the process holds until ctx ends.
func (p *Process) Watch(ctx context.Context) {
	for ctx.Err() == nil {
		if resident, ok := ResidentMemory(p.PID); ok {
			unread := unreadBytes(p.Address)
			p.Memory.Store(max(p.Memory.Load(), resident+unread))
			p.Unread.Store(max(p.Unread.Load(), unread))
		}
		if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID)); err == nil {
			p.Descriptors.Store(max(p.Descriptors.Load(), int64(len(files))))
		}
		pause.For(ctx, samplePause)
	}
}

// ResidentMemory returns the resident memory of a process in bytes, and false if it doesn't run.
func ResidentMemory(pid int) (int64, bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, false
	}
	fields := strings.Fields(string(text))
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err == nil && pages > 0
}

// unreadBytes returns the bytes that have arrived at an address and have not been read, on all its connections.
func unreadBytes(address string) int64 {
	host, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	ip := net.ParseIP(host).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	total := int64(0)
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		const listening = "0A"
		if len(fields) < 5 || fields[1] != local || fields[3] == listening {
			continue
		}
		_, queued, _ := strings.Cut(fields[4], ":")
		unread, _ := strconv.ParseInt(queued, 16, 64)
		total += unread
	}
	return total
}
