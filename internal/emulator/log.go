// Package emulator implements emulators of the platform and of endpoints, which
// users supply in production. They serve the same protocols as the real ones and
// inject faults that a test or an operator configures over HTTP.
package emulator

import (
	"encoding/json"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/pkg/provider"
)

// stream is an append-only sequence of records whose oldest records can be
// trimmed. Offsets start at 1.
type stream struct {
	mu sync.Mutex
	// first is the offset of the oldest retained record.
	first   uint64
	records []provider.Record
	// appended is closed and replaced on every append.
	appended chan struct{}
}

func newStream() *stream {
	return &stream{first: 1, appended: make(chan struct{})}
}

// append adds records and returns the offset of the first one.
func (s *stream) append(now time.Time, data []json.RawMessage) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.first + uint64(len(s.records))
	for i, d := range data {
		s.records = append(s.records, provider.Record{Offset: first + uint64(i), AppendedAt: now, Data: d})
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// read returns up to limit records from an offset on, and a channel that is closed
// on the next append.
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
	return page, s.appended
}

// trim removes the records before offset.
func (s *stream) trim(offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(int(max(offset, s.first)-s.first), len(s.records))
	s.records = append([]provider.Record(nil), s.records[n:]...)
	s.first += uint64(n)
}
