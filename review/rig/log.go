package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// eventLog writes lines with the time since its start to a record and to standard output. It is
// safe for concurrent use.
type eventLog struct {
	mu        sync.Mutex
	record    io.Writer
	startedAt time.Time
}

func newLog(record io.Writer) *eventLog { return &eventLog{record: record, startedAt: time.Now()} }

// printf writes a line to the record and to standard output.
func (l *eventLog) printf(format string, args ...any) { l.write(true, format, args...) }

// recordf writes a line to the record only.
func (l *eventLog) recordf(format string, args ...any) { l.write(false, format, args...) }

func (l *eventLog) write(isShown bool, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(l.startedAt).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(l.record, line)
	if isShown {
		_, _ = io.WriteString(os.Stdout, line)
	}
}
