package entryserver

import (
	"cmp"
	"slices"
	"sync"

	"flamingoledge.org/flamingoledge/internal/messenger"
)

// demand counts the requests for each model that are in progress or waiting.
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

// list returns the counts by model. A model without requests stays in it, so that
// sidecars hear of its end.
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
