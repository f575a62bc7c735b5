package rotator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/rotator"
)

// TestNext guards against asking peers that are gone again and again while another one could answer.
func TestNext(t *testing.T) {
	tests := map[string]struct {
		// failed are the peers that failed, in order of time.
		failed, answered, addresses []string
		// want are those that may be chosen.
		want []string
	}{
		"none known":               {want: []string{""}},
		"none has failed":          {addresses: []string{"a", "b"}, want: []string{"a", "b"}},
		"seeds are gone":           {failed: []string{"a", "b", "c"}, addresses: []string{"a", "b", "c", "d"}, want: []string{"d"}},
		"all have failed":          {failed: []string{"b", "a", "c"}, addresses: []string{"a", "b", "c"}, want: []string{"b"}},
		"failed again":             {failed: []string{"b", "a", "b"}, addresses: []string{"a", "b"}, want: []string{"a"}},
		"has answered since":       {failed: []string{"b", "a"}, answered: []string{"a"}, addresses: []string{"a", "b"}, want: []string{"a"}},
		"others are not forgotten": {failed: []string{"x", "a"}, addresses: []string{"a", "b"}, want: []string{"b"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			var f rotator.Failures
			for i, address := range tc.failed {
				f = f.With(now.Add(time.Duration(i)*time.Second), address)
			}
			for _, address := range tc.answered {
				f = f.Without(address)
			}
			seen := map[string]bool{}
			r := rand.New(rand.NewPCG(1, 2))
			for range 100 {
				seen[f.Among(tc.addresses).Next(tc.addresses, r)] = true
			}
			is.Equal(len(seen), len(tc.want))
			for _, address := range tc.want {
				is.True(seen[address])
			}
		})
	}
}

// TestEachPeerIsTriedOnce replays a start with three seeds that are gone: the one that runs is asked
// at the fourth attempt at the latest.
func TestEachPeerIsTriedOnce(t *testing.T) {
	is := is.New(t)
	addresses := []string{"gone-1", "gone-2", "gone-3", "runs"}
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		var f rotator.Failures
		now, attempts := time.Unix(1000, 0), 0
		for address := ""; address != "runs" && attempts < 10; attempts++ {
			address = f.Next(addresses, r)
			f, now = f.With(now, address), now.Add(time.Second)
		}
		is.True(attempts <= len(addresses))
	}
}
