package switcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/switcher"
)

func TestShouldSupersede(t *testing.T) {
	const copyTime = 4300 * time.Millisecond
	tests := map[string]struct {
		after time.Duration
		left  time.Duration
		held  float64
		want  bool
	}{
		"soon after":                              {after: 2 * time.Second, left: 11 * time.Second, held: 0.35, want: true},
		"soon after, little time remains":         {after: 2 * time.Second, left: 6 * time.Second, held: 0.35},
		"late, half of the older version is held": {after: 3 * time.Second, left: 10 * time.Second, held: 0.6},
		"late, the older version is stalled":      {after: 6 * time.Second, left: 7 * time.Second, held: 0.02, want: true},
		"late, most of the older version is held": {after: 6 * time.Second, left: 10 * time.Second, held: 0.6},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(switcher.ShouldSupersede(tc.after, copyTime, tc.left, tc.held), tc.want)
		})
	}
}
