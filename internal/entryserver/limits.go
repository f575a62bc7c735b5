package entryserver

import (
	"sync"

	"flamingoledge.org/flamingoledge/pkg/router"
)

// limit is how many requests of a service may be in progress here. What other
// entries' requests take is left to them, as far as it is known and as far as
// refusals show; each entry has at least its even share.
func (s *Server) limit(service string) int {
	v := s.board.View()
	g := router.Group{Service: service}
	places := float64(v.table.Capacity(g)) * s.cfg.Overcommit
	share := max(int(places)/max(v.entries, 1), 1)
	free := int(places) - v.table.Others(g)
	return max(min(free, s.windows.of(service).size(int(places))), share)
}

// windows holds the adaptive window of each service.
type windows struct {
	mu      sync.Mutex
	windows map[string]*window
}

func (w *windows) of(service string) *window {
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
	missing float64
	places  int
}

func (w *window) size(places int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.places = places
	w.missing = min(w.missing, float64(max(places-1, 0)))
	return places - int(w.missing)
}

func (w *window) refused() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.missing++
}

func (w *window) answered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.missing = max(w.missing-1/max(float64(w.places)-w.missing, 1), 0)
}
