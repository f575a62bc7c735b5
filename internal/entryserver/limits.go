package entryserver

import (
	"sync"

	"flamingoledge.org/flamingoledge/pkg/router"
)

// concurrencyLimit returns how many requests of a service this entry may have in
// progress: the total capacity of the endpoints, less the requests of other entries
// according to load reports and refusals, but at least an even share per entry.
func (s *Server) concurrencyLimit(service string) int {
	v := s.board.View()
	g := router.GroupKey{Service: service}
	capacity := float64(v.table.Capacity(g)) * s.cfg.Overcommit
	evenShare := max(int(capacity)/max(v.entries, 1), 1)
	available := int(capacity) - v.table.ExternalInFlight(g)
	return max(min(available, s.windows.forService(service).size(int(capacity))), evenShare)
}

// windows contains the adaptive concurrency window of each service.
type windows struct {
	mu      sync.Mutex
	windows map[string]*window
}

func (w *windows) forService(service string) *window {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.windows == nil {
		w.windows = map[string]*window{}
	}
	if w.windows[service] == nil {
		w.windows[service] = &window{}
	}
	return w.windows[service]
}

// window adapts the number of requests in progress to refusals. Each refusal reduces
// the window by 1, and each answer increases it by the reciprocal of its size.
type window struct {
	mu sync.Mutex
	// reduction is the difference between capacity and the window.
	reduction float64
	capacity  int
}

func (w *window) size(capacity int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacity = capacity
	w.reduction = min(w.reduction, float64(max(capacity-1, 0)))
	return capacity - int(w.reduction)
}

func (w *window) onRefused() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reduction++
}

func (w *window) onAnswered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reduction = max(w.reduction-1/max(float64(w.capacity)-w.reduction, 1), 0)
}
