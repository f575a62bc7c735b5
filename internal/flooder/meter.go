package flooder

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is what a process uses.
type Usage struct {
	// MemoryBytes is the anonymous memory of the process and what the kernel has received on its
	// callers' connections and the process has not read.
	MemoryBytes int64
	Descriptors int
}

// Meter measures a process until it is stopped.
type Meter struct {
	pid, port int
	stop      chan struct{}
	stopped   sync.WaitGroup

	peak Usage
}

// meterInterval is the time between two measurements.
const meterInterval = 5 * time.Millisecond

// StartMeter starts to measure the process pid, which accepts callers on a TCP port.
func StartMeter(pid, port int) *Meter {
	m := &Meter{pid: pid, port: port, stop: make(chan struct{})}
	m.stopped.Go(m.run)
	return m
}

// Stop ends the measurement and returns the highest values that were seen.
func (m *Meter) Stop() Usage {
	close(m.stop)
	m.stopped.Wait()
	return m.peak
}

func (m *Meter) run() {
	for {
		u := Measure(m.pid, m.port)
		m.peak.MemoryBytes, m.peak.Descriptors = max(m.peak.MemoryBytes, u.MemoryBytes), max(m.peak.Descriptors, u.Descriptors)
		select {
		case <-m.stop:
			return
		case <-time.After(meterInterval):
		}
	}
}

// Measure returns what a process uses now; zeros if it has ended.
func Measure(pid, port int) Usage {
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return Usage{MemoryBytes: anonymousBytes(pid) + unreadBytes(port), Descriptors: len(fds)}
}

func anonymousBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// Columns of /proc/net/tcp, and the state of sockets that listen.
const (
	columnLocal, columnState, columnQueues = 1, 3, 4
	stateListening                         = "0A"
)

// unreadBytes returns the bytes that wait in the kernel on all connections of a local port.
func unreadBytes(port int) (n int64) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	suffix := fmt.Sprintf(":%04X", port)
	lines := bufio.NewScanner(bytes.NewReader(table))
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		if len(f) <= columnQueues || f[columnState] == stateListening || !strings.HasSuffix(f[columnLocal], suffix) {
			continue
		}
		_, received, _ := strings.Cut(f[columnQueues], ":")
		bytes, _ := strconv.ParseInt(received, 16, 64)
		n += bytes
	}
	return n
}
