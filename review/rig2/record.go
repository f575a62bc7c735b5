package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path) //nolint:gosec // The script names the file in its own folder.
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, started: time.Now()}, nil
}

func (r *recorder) log(kind, text string) { r.logAt(time.Now(), kind, text) }

func (r *recorder) logAt(at time.Time, kind, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %-8s %s\n", at.Sub(r.started).Seconds(), kind, text)
}

// say writes a line to the file and to the standard output.
func (r *recorder) say(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.log("result", line)
	fmt.Println(line)
}
