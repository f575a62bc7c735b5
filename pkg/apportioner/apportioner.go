// Package apportioner gives each endpoint a home among the entries that send to
// it, so that under load few entries compete for the same places.
//
// The load it answers is many entries that fill the same endpoints: each sees the
// others' requests only with the next report, so that several take the last place
// at once and their requests wait inside the endpoint.
package apportioner

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

// AssignHomes returns the name of the home of each endpoint by its ID. The endpoints of
// a region are split evenly over the entries there, and those of a region without
// entries over all entries. Where there are fewer endpoints than entries, they have
// no home. Entries that know the same members come to the same result, and an
// endpoint more or less moves few homes.
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

// split gives each entry a run of the endpoints in the order of their hashes.
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

func compareHashes(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}
