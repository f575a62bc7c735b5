package assigner_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/assigner"
)

func entries(region string, n int) (es []assigner.Entry) {
	for i := range n {
		es = append(es, assigner.Entry{Name: fmt.Sprintf("%s-entry-%d", region, i), Region: region})
	}
	return es
}

func endpoints(region string, n int) (es []assigner.Endpoint) {
	for i := range n {
		es = append(es, assigner.Endpoint{ID: fmt.Sprintf("%s-endpoint-%d", region, i), Region: region})
	}
	return es
}

func TestHomes(t *testing.T) {
	tests := map[string]struct {
		entries   []assigner.Entry
		endpoints []assigner.Endpoint
		// homes is the number of endpoints with a home. minPerEntry and maxPerEntry
		// bound the number of endpoints per entry.
		homes, minPerEntry, maxPerEntry int
	}{
		"nothing":                      {},
		"no entries":                   {endpoints: endpoints("a", 3)},
		"one entry":                    {entries: entries("a", 1), endpoints: endpoints("a", 3), homes: 3, minPerEntry: 3, maxPerEntry: 3},
		"evenly":                       {entries: entries("a", 5), endpoints: endpoints("a", 16), homes: 16, minPerEntry: 3, maxPerEntry: 4},
		"fewer endpoints than entries": {entries: entries("a", 5), endpoints: endpoints("a", 4)},
		"split by region":              {entries: append(entries("a", 2), entries("b", 1)...), endpoints: append(endpoints("a", 4), endpoints("b", 2)...), homes: 6, minPerEntry: 2, maxPerEntry: 2},
		"region without entries":       {entries: entries("a", 2), endpoints: endpoints("b", 4), homes: 4, minPerEntry: 2, maxPerEntry: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			homes := assigner.AssignHomes(tc.entries, tc.endpoints)
			is.Equal(len(homes), tc.homes)
			count := map[string]int{}
			for _, name := range homes {
				count[name]++
			}
			if tc.homes == 0 {
				return
			}
			for _, e := range tc.entries {
				is.True(count[e.Name] >= tc.minPerEntry)
				is.True(count[e.Name] <= tc.maxPerEntry)
			}
		})
	}
}

func TestHomesDoNotDependOnOrder(t *testing.T) {
	is := is.New(t)
	entryList, endpointList := entries("a", 7), endpoints("a", 40)
	want := assigner.AssignHomes(entryList, endpointList)
	slices.Reverse(entryList)
	slices.Reverse(endpointList)
	is.Equal(assigner.AssignHomes(entryList, endpointList), want)
}

func TestAddedEndpointMovesFewHomes(t *testing.T) {
	is := is.New(t)
	entryList := entries("a", 7)
	before := assigner.AssignHomes(entryList, endpoints("a", 40))
	moved := 0
	for id, home := range assigner.AssignHomes(entryList, endpoints("a", 41)) {
		if old, ok := before[id]; ok && old != home {
			moved++
		}
	}
	is.True(moved <= len(entryList)) // at most one per end of a run
}
