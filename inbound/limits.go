package inbound

import (
	"math"
	"syscall"
)

const (
	// memoryShare is the part of a process's memory for what clients make it hold.
	memoryShare = 0.45
	// descriptorShare is the part of a process's descriptors for connections from clients, apart from reservedDescriptors for files and
	// the like. The rest is for connections to servers and between processes.
	descriptorShare     = 0.5
	reservedDescriptors = 200
	leastConnections    = 64
)

// ShareOf returns the part of a process's memory, in bytes, that is for what clients make it hold.
func ShareOf(memoryBytes int64) int64 { return int64(memoryShare * float64(memoryBytes)) }

// ConnectionsFor returns the limit on connections of a process with the given number of descriptors; with 0 they are what the system
// allows the process.
func ConnectionsFor(descriptors int) int {
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	return max(leastConnections, int(descriptorShare*float64(descriptors-reservedDescriptors)))
}

func systemDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
