package entryserver

import "flamingoledge.org/flamingoledge/pkg/router"

// limitsOf shares out the places of the endpoints: what other entries' requests
// take is left to them, and each entry has at least its even share.
func limitsOf(t *router.Table, services []string, entries int, overcommit float64) map[string]int {
	limits := make(map[string]int, len(services))
	for _, service := range services {
		g := router.Group{Service: service}
		places := float64(t.Capacity(g)) * overcommit
		share := places / float64(max(entries, 1))
		limits[service] = max(int(places)-t.Others(g), int(share), 1)
	}
	return limits
}
