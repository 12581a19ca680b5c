package guard

import (
	"math"
	"runtime/debug"
	"sync"

	"golang.org/x/sys/unix"

	"shallotring.dev/state/holding"
)

const (
	// callersShare is the part of the machine's memory that callers may hold. The rest is for the process itself (some 20 MB), garbage that is
	// not collected yet, and buffers of the system.
	callersShare = 0.3
	// reservedDescriptors are those that are not available for sockets, ownDescriptors those of listeners and of connections to the store and
	// to other processes.
	reservedDescriptors, ownDescriptors = 200, 40
	// connectionsShare is the part of the other descriptors that connections of callers may take: each request needs a second one for its
	// endpoint, and connections to endpoints are kept for some seconds.
	connectionsShare = 0.4
	// minConnections is the least number of callers' connections that is allowed whatever the system reports.
	minConnections = 16
)

// LimitsOf returns the limits for a machine with some bytes of memory and a number of descriptors; of what is 0, the system's report counts.
func LimitsOf(memory int64, descriptors int) holding.Limits {
	if memory <= 0 {
		memory = SystemMemory()
	}
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	connections := int(connectionsShare * float64(descriptors-reservedDescriptors-ownDescriptors))
	return holding.Limits{Bytes: int64(callersShare * float64(memory)), Holders: max(connections, minConnections)}
}

// SystemMemory returns the memory limit of the Go runtime at the first call (GOMEMLIMIT) or, without one, the memory of the machine.
var SystemMemory = sync.OnceValue(func() (bytes int64) {
	if n := debug.SetMemoryLimit(-1); n != math.MaxInt64 {
		return n
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return defaultMemory
	}
	return int64(info.Totalram) * int64(info.Unit)
})

// defaultMemory and defaultDescriptors are assumed if the system reports nothing; they are those of a small machine.
const (
	defaultMemory      = 256 << 20
	defaultDescriptors = 4096
)

func systemDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
