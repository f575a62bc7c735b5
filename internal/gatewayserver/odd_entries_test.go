package gatewayserver

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/platform"
)

// TestOddEntryDoesNotDecide guards against a record of another writer that decides for all endpoints
// which version they should hold, or takes most requests by its slots.
func TestOddEntryDoesNotDecide(t *testing.T) {
	record := func(i, slots, version int) string {
		return fmt.Sprintf(`{"service":"llm","address":"10.0.0.%d:1","zone":"z","slots":%d,"state":"ready","seq":1,"born":1,"models":[{"name":"m","version":%d}]}`, i+1, slots, version)
	}
	tests := map[string]struct {
		records  []string
		wantHeld uint64
	}{
		"sound":                     {records: []string{record(0, 16, 1), record(1, 16, 1)}, wantHeld: 1},
		"odd one first":             {records: []string{record(0, 16, 7), record(1, 16, 1), record(2, 16, 1)}, wantHeld: 1},
		"odd one last":              {records: []string{record(0, 16, 1), record(1, 16, 1), record(2, 90000, 7)}, wantHeld: 1},
		"one of each":               {records: []string{record(0, 16, 1), record(1, 16, 2)}, wantHeld: 2},
		"nothing loaded":            {records: []string{record(0, 16, 0), record(1, 16, 0), record(2, 16, 1)}, wantHeld: 1},
		"version that can't exist":  {records: []string{record(0, 16, 1), `{"service":"llm","address":"10.0.0.9:1","zone":"z","slots":16,"state":"ready","seq":1,"models":[{"name":"m","version":18446744073709551615}]}`}, wantHeld: 1},
		"slots that can't be added": {records: []string{record(0, 16, 1), record(1, 9e18, 1), record(2, 9e18, 1)}, wantHeld: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			var s state
			cfg := platform.Value{Key: "config", Data: []byte(`{"version":1,"services":[{"name":"llm","engine":{"slots":16,"models":[{"name":"m"}]}}]}`)}
			s, _ = configurationController{}.Handle(now, s, configRead{source: sourceStore, values: []platform.Value{cfg}, startedAt: now})
			// Each record comes with a read of its own.
			for i, r := range tc.records {
				v := platform.Value{Key: fmt.Sprint("e", i), Data: []byte(r), Position: provider.Position{Epoch: 1, Offset: int64(i + 1)}}
				s, _ = endpointsController{}.Handle(now, s, listRead{values: []platform.Value{v}, snapshot: i == 0, startedAt: now, epoch: 1, source: sourceStore})
			}
			is.Equal(s.list.held["m"].Version, tc.wantHeld)
			for _, e := range s.endpoints(now, nil)["llm"] {
				is.Equal(e.Slots, 16)
			}
		})
	}
}
