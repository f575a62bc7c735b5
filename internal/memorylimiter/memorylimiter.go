// Package memorylimiter tells the Go runtime how much memory its process has.
package memorylimiter

import "runtime/debug"

// fraction is the fraction of the available memory that is set as the soft limit of the
// Go runtime, above which the garbage collector runs more often. The rest is for kernel
// buffers and stacks.
const fraction = 0.6

// Limit sets the soft limit of the runtime for a process with memoryMB MB. It does nothing if that is 0.
func Limit(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(fraction * float64(memoryMB) * (1 << 20)))
	}
}
