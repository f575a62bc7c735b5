// Package assigner assigns each endpoint a home, which is one of the entries that
// send to it, so that under load few entries compete for the same slots.
//
// Without homes, many entries fill the same endpoints. Each of them sees the requests
// of the others only with the next load report, so several use the last free slot at
// the same time and their requests are queued in the endpoint.
//
// Callers are not spread evenly over the entries. With homes by demand (Level), an entry with
// many callers has many endpoints to fill, instead of competing for those of others.
package assigner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entry is a process that sends to endpoints.
type Entry struct {
	Name   string
	Region string
	// Level is the level of its callers' demand.
	Level int
}

// Endpoint is one of the endpoints of a service.
type Endpoint struct {
	ID     string
	Region string
	Slots  int
}

// AssignHomes returns the home entry of each endpoint, by endpoint ID. The endpoints of
// a region are split between the entries there by their demand, and those of regions without
// entries between all entries. A region whose demand exceeds its slots borrows from others
// that have slots to spare. If there are fewer endpoints than entries, the endpoints
// get no home. The result depends only on the sets of entries and endpoints, so
// entries with the same membership and levels agree on it. Adding or removing an endpoint, and
// a level that changes, change few homes.
func AssignHomes(entries []Entry, endpoints []Endpoint) map[string]string {
	homes := make(map[string]string, len(endpoints))
	byName, unit := weights(entries)
	if len(entries) > 0 && !hasEqualLevels(entries) {
		endpoints = borrow(homes, entries, endpoints, byName, unit)
	}
	namesByRegion := map[string][]string{}
	var allNames []string
	for _, e := range entries {
		namesByRegion[e.Region] = append(namesByRegion[e.Region], e.Name)
		allNames = append(allNames, e.Name)
	}
	idsByRegion := map[string][]string{}
	var unservedIDs []string
	for _, e := range endpoints {
		if len(namesByRegion[e.Region]) == 0 {
			unservedIDs = append(unservedIDs, e.ID)
			continue
		}
		idsByRegion[e.Region] = append(idsByRegion[e.Region], e.ID)
	}
	for region, ids := range idsByRegion {
		assignByWeight(homes, namesByRegion[region], ids, byName, false)
	}
	assignByWeight(homes, allNames, unservedIDs, byName, false)
	return homes
}

// sortByHash sorts strings by hash and, if the hashes are equal, by value.
func sortByHash(values []string) {
	type hashed struct {
		hash  uint64
		value string
	}
	hashes := make([]hashed, len(values))
	for i, v := range values {
		hashes[i] = hashed{hash: xxhash.Sum64String(v), value: v}
	}
	slices.SortFunc(hashes, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.value, b.value))
	})
	for i, h := range hashes {
		values[i] = h.value
	}
}
