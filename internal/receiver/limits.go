package receiver

import (
	"syscall"
	"time"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/pkg/budgeter"
)

// Limits bounds what all callers of a process may hold.
type Limits struct {
	// MemoryBytes is the memory for heads and bodies of requests, beside freeBytes of each connection.
	MemoryBytes int64
	MaxConns    int
	StallTime   time.Duration
}

// Resources are what the limits of callers are derived from.
type Resources struct {
	// MemoryMB is the memory of the process in MB, and MaxDescriptors the number of its descriptors;
	// 0 if unknown.
	MemoryMB, MaxDescriptors int
	// MaxBodyBytes is the size of the largest body that a caller may send, and Copies how often the
	// process holds it.
	MaxBodyBytes, Copies int
}

const (
	// memoryShare is the part of a process's memory that requests may take, and connShare the part for
	// the connections themselves. The rest is for answers, routing state, garbage and kernel buffers.
	memoryShare, connShare = 0.15, 0.25
	// connBytes is what the goroutines and buffers of a connection take, beside the kernel's.
	connBytes = 24 << 10
	// defaultMemoryMB is assumed for a process that does not know its memory.
	defaultMemoryMB = 1024
	// reservedDescriptors are used by files, and descriptorShare is the part of the others for callers.
	// Requests in progress and other processes need the rest.
	reservedDescriptors, descriptorShare = 200, 0.7
	// minConns are left to callers of a process with very few descriptors.
	minConns         = 16
	defaultStallTime = 500 * time.Millisecond
	// reservedShare is the part of the memory that only requests of up to smallBytes may use.
	reservedShare = 0.25
	smallBytes    = 16 << 10
	// headroomShare is the part of the memory that is freed at once from stalled requests.
	headroomShare = 0.125
	// freeBytes of a connection are part of connBytes.
	freeBytes = 4 << 10
	// progressBytes is what a sender sends in the stall time at least if it has not stalled. A large body at
	// a lower pace does not arrive in time.
	progressBytes = 16 << 10
	// evictedShare is how many connections more may be open while they are being closed.
	evictedShare = 0.125
)

// NewLimits derives the limits that the settings leave open.
func NewLimits(cfg configurator.Callers, res Resources) Limits {
	memory := res.MemoryMB
	if memory == 0 {
		memory = defaultMemoryMB
	}
	descriptors := res.MaxDescriptors
	if descriptors == 0 {
		descriptors = ownDescriptors()
	}
	l := Limits{
		MemoryBytes: int64(memoryShare * float64(memory) * (1 << 20)),
		MaxConns:    min(int(connShare*float64(memory)*(1<<20)/connBytes), int(descriptorShare*float64(descriptors-reservedDescriptors))),
		StallTime:   defaultStallTime,
	}
	if cfg.MemoryMB > 0 {
		l.MemoryBytes = int64(cfg.MemoryMB) << 20
	}
	if cfg.MaxConnections > 0 {
		l.MaxConns = cfg.MaxConnections
	}
	if cfg.StallMillis > 0 {
		l.StallTime = configurator.Millis(cfg.StallMillis)
	}
	// One body of the largest size must fit into the part that is not reserved.
	largest := int64(float64(res.MaxBodyBytes*res.Copies+2*maxPartBytes) / (1 - reservedShare))
	l.MemoryBytes, l.MaxConns = max(l.MemoryBytes, largest), max(l.MaxConns, minConns)
	return l
}

func (l Limits) budget() budgeter.Config {
	return budgeter.Config{
		Memory: l.MemoryBytes, ReservedMemory: int64(reservedShare * float64(l.MemoryBytes)), Headroom: int64(headroomShare * float64(l.MemoryBytes)), SmallBytes: smallBytes, FreeBytes: freeBytes,
		MaxConns: l.MaxConns, MaxEvictedConns: max(int(evictedShare*float64(l.MaxConns)), 1),
		StallTime: l.StallTime, ProgressBytes: progressBytes,
	}
}

// ownDescriptors returns how many descriptors the kernel allows this process.
func ownDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

const (
	// defaultDescriptors is the usual limit of a process.
	defaultDescriptors = 1024
	maxDescriptors     = 1 << 20
)
