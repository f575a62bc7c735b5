package entryserver

import (
	"cmp"
	"slices"
	"sync"

	"flamingoledge.org/flamingoledge/internal/messenger"
)

// demand counts the requests in progress or queued per model.
type demand struct {
	mu       sync.Mutex
	requests map[string]int
}

func (d *demand) add(model string, n int) {
	if model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests == nil {
		d.requests = map[string]int{}
	}
	d.requests[model] += n
}

// modelCounts returns the counts by model. Models whose count fell to 0 are included, so
// that sidecars are notified of it.
func (d *demand) modelCounts() []*messenger.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	ds := make([]*messenger.ModelDemand, 0, len(d.requests))
	for model, n := range d.requests {
		ds = append(ds, &messenger.ModelDemand{Model: model, Requests: uint32(max(n, 0))})
	}
	slices.SortFunc(ds, func(a, b *messenger.ModelDemand) int { return cmp.Compare(a.GetModel(), b.GetModel()) })
	return ds
}

func equalDemand(a, b *messenger.ModelDemand) bool {
	return a.GetModel() == b.GetModel() && a.GetRequests() == b.GetRequests()
}
