package emulator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/pkg/provider"
)

// announceTTL is how long an instance stays listed after its last announcement.
const announceTTL = 6 * time.Second

// announcementRetention is how long announcements are retained, and so the largest
// lag that the list supports.
const announcementRetention = time.Minute

// announcement is an instance's entry in the list at the time it was announced.
type announcement struct {
	at       time.Time
	instance provider.Instance
}

// directory records the announcements of each instance by name, so that the list
// can be computed as of a past time.
type directory struct {
	mu            sync.Mutex
	announcements map[string][]announcement
}

func newDirectory() *directory {
	return &directory{announcements: map[string][]announcement{}}
}

func (d *directory) announce(now time.Time, inst provider.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	history := slices.DeleteFunc(d.announcements[inst.Name], func(a announcement) bool { return now.Sub(a.at) > announcementRetention })
	d.announcements[inst.Name] = append(history, announcement{at: now, instance: inst})
}

// list returns the instances listed at the given time, sorted by name.
func (d *directory) list(at time.Time) []provider.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var instances []provider.Instance
	for _, history := range d.announcements {
		latest, ok := latestAt(history, at)
		if ok && at.Sub(latest.at) <= announceTTL {
			instances = append(instances, latest.instance)
		}
	}
	slices.SortFunc(instances, func(a, b provider.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return instances
}

// latestAt returns the last announcement that is not later than at.
func latestAt(history []announcement, at time.Time) (latest announcement, ok bool) {
	for _, a := range history {
		if !a.at.After(at) {
			latest, ok = a, true
		}
	}
	return latest, ok
}
