package planner

import (
	"time"
)

type activeFetch struct {
	source string
	since  time.Time
}

// flights are the fetches of one chunk that are under way, the first one first.
type activeFetches struct {
	all [maxInFlightPerChunk]activeFetch
	n   int
}

// without returns the flights but the one from source; false if there is none.
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

// land ends the flight of chunk i from source, if there is one.
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
