package planner

import (
	"time"
)

// activeFetch is a request for a chunk that was sent to one source and not yet
// answered.
type activeFetch struct {
	// source is the name of the peer, empty for the origin.
	source string
	since  time.Time
}

// activeFetches are the unanswered fetches of one chunk, oldest first.
type activeFetches struct {
	all [maxInFlightPerChunk]activeFetch
	n   int
}

// without returns f without the fetch from source, and false if f has none.
func (f activeFetches) without(source string) (activeFetches, bool) {
	for k := range f.n {
		if f.all[k].source != source {
			continue
		}
		copy(f.all[k:], f.all[k+1:f.n])
		f.n--
		return f, true
	}
	return f, false
}

// finishFetch removes the active fetch of chunk i from source, if there is one.
func (p *Planner) finishFetch(i int, source string) {
	rest, ok := p.activeFetches[i].without(source)
	if !ok {
		return
	}
	p.inFlight--
	if source == "" {
		p.originInFlight--
	} else if pr := p.peers[source]; pr != nil {
		pr.inFlight--
	}
	if rest.n == 0 {
		p.requested.Remove(i)
		delete(p.activeFetches, i)
		return
	}
	p.activeFetches[i] = rest
}
