package configurator

// Callers bounds what the callers of an entry may hold. The zero value has the default limits, which
// follow from the memory and the descriptors of the process.
type Callers struct {
	// MemoryMB is the memory for the connections and requests of all callers, in MB; 0 for a share
	// of the memory of the process.
	MemoryMB int `json:"memory_mb"`
	// MaxConnections is the number of connections that callers may have open; 0 for as many as
	// memory and descriptors allow.
	MaxConnections int `json:"max_connections"`
	// StallMillis is how long the sender of a request may make no progress, in ms, before it gives
	// way to others when memory or connections are short; 0 for 500.
	StallMillis int64 `json:"stall_ms"`
}

const (
	// minCallersMB leaves room for a body of the largest size that a configuration may allow, with
	// the copies that are made of it.
	minCallersMB = 32
	// maxMemoryMB is more than any process has.
	maxMemoryMB = 1 << 20
	// maxDescriptors is more than any process can have.
	maxDescriptors = 1 << 24
)

func (c Callers) check() error {
	if c.MemoryMB != 0 {
		if err := checkRange("callers.memory_mb", c.MemoryMB, minCallersMB, maxMemoryMB); err != nil {
			return err
		}
	}
	return firstError(
		checkRange("callers.max_connections", c.MaxConnections, 0, maxDescriptors),
		checkRange("callers.stall_ms", int(c.StallMillis), 0, maxMillis),
	)
}
