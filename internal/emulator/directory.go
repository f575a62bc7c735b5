package emulator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/pkg/provider"
)

// announceTTL is how long an instance stays listed without a new announcement.
const announceTTL = 6 * time.Second

// historyKept bounds how far back the lagging list can look.
const historyKept = time.Minute

type sighting struct {
	at       time.Time
	instance provider.Instance
}

// directory keeps announcements, so that the list can lag by any time.
type directory struct {
	mu        sync.Mutex
	sightings map[string][]sighting
}

func newDirectory() *directory {
	return &directory{sightings: map[string][]sighting{}}
}

func (d *directory) announce(now time.Time, i provider.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ss := slices.DeleteFunc(d.sightings[i.Name], func(s sighting) bool { return now.Sub(s.at) > historyKept })
	d.sightings[i.Name] = append(ss, sighting{at: now, instance: i})
}

// list returns the instances as they were at a past time.
func (d *directory) list(at time.Time) []provider.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var is []provider.Instance
	for _, ss := range d.sightings {
		last, ok := lastBefore(ss, at)
		if ok && at.Sub(last.at) <= announceTTL {
			is = append(is, last.instance)
		}
	}
	slices.SortFunc(is, func(a, b provider.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return is
}

func lastBefore(ss []sighting, at time.Time) (last sighting, ok bool) {
	for _, s := range ss {
		if !s.at.After(at) {
			last, ok = s, true
		}
	}
	return last, ok
}
