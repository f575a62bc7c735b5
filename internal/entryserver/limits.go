package entryserver

import (
	"sync"

	"flamingoledge.org/flamingoledge/pkg/router"
)

// limit is how many requests of a service may be in progress here. What other
// entries' requests take is left to them, as far as it is known and as far as
// refusals show; each entry has at least its even share.
func (s *Server) concurrencyLimit(service string) int {
	v := s.board.View()
	g := router.Group{Service: service}
	capacity := float64(v.table.Capacity(g)) * s.cfg.Overcommit
	evenShare := max(int(capacity)/max(v.entries, 1), 1)
	available := int(capacity) - v.table.Others(g)
	return max(min(available, s.windows.forService(service).size(int(capacity))), evenShare)
}

// windows holds the adaptive window of each service.
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

// window is how many requests an entry keeps in progress, by what it learns from
// refusals: each one makes it smaller by one, and a window's worth of answers
// larger by one.
type window struct {
	mu sync.Mutex
	// missing is how much smaller the window is than all places.
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
