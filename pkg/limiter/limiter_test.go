package limiter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/limiter"
)

var start = time.Unix(100, 0)

func TestLimit(t *testing.T) {
	limited := limiter.Limit{}.WithRate(start, 2, 0.5, 0.25)
	tests := map[string]struct {
		limit limiter.Limit
		// nextAfter is the time from start to the next request; unlimited if negative.
		nextAfter time.Duration
	}{
		"none named":                   {limit: limiter.Limit{}, nextAfter: -1},
		"named, first request spread":  {limit: limited, nextAfter: 250 * time.Millisecond},
		"named again":                  {limit: limited.WithRate(start.Add(10*time.Millisecond), 2, 0.5, 0.9), nextAfter: 250 * time.Millisecond},
		"request started":              {limit: limited.WithStart(start.Add(time.Second), 0.5), nextAfter: 2 * time.Second},
		"late request saves up none":   {limit: limited.WithStart(start.Add(time.Hour), 0.5), nextAfter: time.Hour + time.Second},
		"raised":                       {limit: limited.WithStart(start, 0.5).WithRate(start, 20, 0.5, 0.9), nextAfter: 100 * time.Millisecond},
		"lowered, next one as planned": {limit: limited.WithStart(start, 0.5).WithRate(start, 1, 0.5, 0.9), nextAfter: time.Second},
		"withdrawn":                    {limit: limited.WithStart(start, 0.5).WithRate(start, 0, 0.5, 0.9), nextAfter: -1},
		"never named, request started": {limit: limiter.Limit{}.WithStart(start, 0.5), nextAfter: -1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.limit.NextAt().IsZero(), tt.nextAfter < 0)
			if tt.nextAfter >= 0 {
				is.Equal(tt.limit.NextAt().Sub(start), tt.nextAfter)
			}
		})
	}
}

// TestSharesAddUp checks that the entries' shares add up to less than the limit, and to at
// most one and a half times the limit with two homes.
func TestSharesAddUp(t *testing.T) {
	for _, entries := range []int{1, 2, 5, 35, 320} {
		is := is.New(t)
		remote := float64(entries-1) * limiter.RemoteShare(entries)
		is.True(limiter.HomeShare()+remote < 1)
		is.True(2*limiter.HomeShare()+remote <= 1.5)
		is.True(float64(entries)*limiter.EvenShare(entries) < 1)
	}
}
