package memory

import (
	"math"
	"runtime/debug"
	"syscall"
)

const (
	// callerShare is the part of the memory of a process that callers can make it hold. The rest is for
	// the process itself, and for garbage that is not collected yet.
	callerShare = 0.4
	// defaultMemory is the memory of the process, in bytes, if neither the settings nor the
	// environment name it.
	defaultMemory = 2 << 30
	// ownFiles is the number of files that are left for the process itself: the platform, peers and
	// idle connections to endpoints.
	ownFiles = 200
)

// ForProcess returns the bound of a process with the given memory in bytes. If that is 0, it is the memory
// limit of the Go runtime, which the environment variable GOMEMLIMIT sets, or else defaultMemory. The bound of files
// follows from the number that the system lets the process open.
func ForProcess(memory int64) *Bound {
	return NewBound(bytesFor(memory), filesFor())
}

// SetMemory changes the memory of the process, as ForProcess does.
func (b *Bound) SetMemory(memory int64) {
	bytes := bytesFor(memory)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes = bytes
}

func bytesFor(memory int64) int64 {
	if memory <= 0 {
		memory = debug.SetMemoryLimit(-1)
		if memory == math.MaxInt64 {
			memory = defaultMemory
		}
	}
	return int64(callerShare * float64(memory))
}

// filesFor returns the number of files that reservations may take.
func filesFor() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32 // the system names no limit
	}
	return max(int(limit.Cur)-ownFiles, int(limit.Cur)/2)
}
