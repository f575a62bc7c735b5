package subscriber_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/subscriber"
)

const homeInterval = 60 * time.Millisecond

func config(self, region string) subscriber.Config {
	return subscriber.Config{Self: self, Region: region, HomeInterval: homeInterval, MaxOthers: 64, OthersPerSecond: 320}
}

// fleet returns endpoints in several regions, of which each entry of a region is the home
// of an equal share.
func fleet(regions, endpointsPerRegion, entriesPerRegion, entry int) (es []subscriber.Endpoint) {
	for r := range regions {
		for i := range endpointsPerRegion {
			es = append(es, subscriber.Endpoint{
				ID: fmt.Sprintf("endpoint-%d-%d", r, i), Region: region(r),
				IsHome: r*entriesPerRegion+i%entriesPerRegion == entry,
			})
		}
	}
	return es
}

func region(r int) string { return fmt.Sprintf("region-%d", r) }

func TestSelect(t *testing.T) {
	tests := map[string]struct {
		regions, endpointsPerRegion, entriesPerRegion int
		selected, homes                               int
		otherInterval                                 time.Duration
	}{
		"no endpoints":                {regions: 1, entriesPerRegion: 1},
		"every endpoint is a home":    {regions: 1, endpointsPerRegion: 5, entriesPerRegion: 1, selected: 5, homes: 5},
		"few, all at the home's rate": {regions: 1, endpointsPerRegion: 15, entriesPerRegion: 5, selected: 15, homes: 3, otherInterval: homeInterval},
		"three regions":               {regions: 3, endpointsPerRegion: 20, entriesPerRegion: 5, selected: 60, homes: 4, otherInterval: 56 * time.Second / 320},
		"more than are selected":      {regions: 5, endpointsPerRegion: 35, entriesPerRegion: 7, selected: 69, homes: 5, otherInterval: 64 * time.Second / 320},
		"more in the region than fit": {regions: 18, endpointsPerRegion: 120, entriesPerRegion: 20, selected: 70, homes: 6, otherInterval: 64 * time.Second / 320},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			es := fleet(tc.regions, tc.endpointsPerRegion, tc.entriesPerRegion, 0)
			selected := subscriber.Select(config("entry-0", region(0)), es)
			is.Equal(len(selected), tc.selected)
			homes := 0
			for _, e := range es {
				interval, ok := selected[e.ID]
				switch {
				case e.IsHome:
					homes++
					is.Equal(interval, homeInterval)
				case ok:
					is.Equal(interval.Round(time.Millisecond), tc.otherInterval.Round(time.Millisecond))
				case e.Region == region(0):
					is.True(tc.selected-tc.homes < tc.endpointsPerRegion) // the own region comes first
				}
			}
			is.Equal(homes, tc.homes)
		})
	}
}

// TestReportsAreBounded computes the load reports of whole fleets if every load changes at
// each poll. Neither the reports that an entry receives nor those that a sidecar sends may
// grow with the fleet, as they do if every load is reported to every entry.
func TestReportsAreBounded(t *testing.T) {
	const maxReceived, maxSent = 500.0, 200.0
	tests := map[string]struct{ regions, endpointsPerRegion, entriesPerRegion int }{
		"5 entries, 15 endpoints":      {regions: 1, endpointsPerRegion: 15, entriesPerRegion: 5},
		"15 entries, 60 endpoints":     {regions: 3, endpointsPerRegion: 20, entriesPerRegion: 5},
		"35 entries, 175 endpoints":    {regions: 5, endpointsPerRegion: 35, entriesPerRegion: 7},
		"324 entries, 2,196 endpoints": {regions: 18, endpointsPerRegion: 122, entriesPerRegion: 18},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := map[string]float64{}
			receivers := map[string]int{}
			entries := tc.regions * tc.entriesPerRegion
			mostReceived := 0.0
			for entry := range entries {
				received := 0.0
				es := fleet(tc.regions, tc.endpointsPerRegion, tc.entriesPerRegion, entry)
				cfg := config(fmt.Sprintf("entry-%d", entry), region(entry/tc.entriesPerRegion))
				for id, interval := range subscriber.Select(cfg, es) {
					received += 1 / interval.Seconds()
					sent[id] += 1 / interval.Seconds()
					receivers[id]++
				}
				mostReceived = max(mostReceived, received)
			}
			mostSent, fewestReceivers := 0.0, entries
			for _, e := range fleet(tc.regions, tc.endpointsPerRegion, tc.entriesPerRegion, 0) {
				mostSent, fewestReceivers = max(mostSent, sent[e.ID]), min(fewestReceivers, receivers[e.ID])
			}
			all := float64(tc.regions*tc.endpointsPerRegion) / homeInterval.Seconds()
			t.Logf("reports/s: an entry receives %.0f (%.0f if all were reported), a sidecar sends %.0f; receivers of an endpoint: at least %d of %d",
				mostReceived, all, mostSent, fewestReceivers, entries)
			is.True(mostReceived <= maxReceived)
			is.True(mostSent <= maxSent)
			is.True(fewestReceivers >= 3)
		})
	}
}
