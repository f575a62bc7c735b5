// Package assigner assigns each endpoint a home, which is one of the entries that
// send to it, so that under load few entries compete for the same slots.
//
// Without homes, many entries fill the same endpoints. Each of them sees the requests
// of the others only with the next load report, so several use the last free slot at
// the same time and their requests are queued in the endpoint.
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
}

// Endpoint is one of the endpoints of a service.
type Endpoint struct {
	ID     string
	Region string
}

// AssignHomes returns the home entry of each endpoint, by endpoint ID. The endpoints of
// a region are split evenly between the entries there, and those of regions without
// entries between all entries. If there are fewer endpoints than entries, the endpoints
// get no home. The result depends only on the sets of entries and endpoints, so
// entries with the same membership agree on it. Adding or removing an endpoint changes
// few homes.
func AssignHomes(entries []Entry, endpoints []Endpoint) map[string]string {
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
	homes := make(map[string]string, len(endpoints))
	for region, ids := range idsByRegion {
		assignRuns(homes, namesByRegion[region], ids)
	}
	assignRuns(homes, allNames, unservedIDs)
	return homes
}

// assignRuns assigns each entry a contiguous run of the endpoints, both sorted by hash.
func assignRuns(homes map[string]string, names, ids []string) {
	if len(names) == 0 || len(ids) < len(names) {
		return
	}
	slices.SortFunc(names, compareHashes)
	slices.SortFunc(ids, compareHashes)
	for i, id := range ids {
		homes[id] = names[i*len(names)/len(ids)]
	}
}

// compareHashes orders strings by hash and, if the hashes are equal, by value.
func compareHashes(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}
