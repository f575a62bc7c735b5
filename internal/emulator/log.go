// Package emulator holds the project's own stand-ins for what the users bring:
// the platform and the endpoints, with faults that a test or an operator
// switches over HTTP. They serve the protocols that the adapters speak.
package emulator

import (
	"encoding/json"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/pkg/provider"
)

// stream is one append-only stream with retention.
type stream struct {
	mu      sync.Mutex
	first   uint64
	records []provider.Record
	// grown is closed and replaced when records are appended.
	grown chan struct{}
}

func newStream() *stream {
	return &stream{first: 1, grown: make(chan struct{})}
}

func (s *stream) append(now time.Time, data []json.RawMessage) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.first + uint64(len(s.records))
	for i, d := range data {
		s.records = append(s.records, provider.Record{Offset: first + uint64(i), AppendedAt: now, Data: d})
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

func (s *stream) read(from uint64, limit int) (provider.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.first + uint64(len(s.records))
	page := provider.Page{FirstRetained: s.first, Next: next}
	from = max(from, s.first)
	if from < next {
		start := int(from - s.first)
		end := min(start+limit, len(s.records))
		page.Records = append(page.Records, s.records[start:end]...)
	}
	return page, s.grown
}

// trim removes the records below offset.
func (s *stream) trim(offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(int(max(offset, s.first)-s.first), len(s.records))
	s.records = append([]provider.Record(nil), s.records[n:]...)
	s.first += uint64(n)
}
