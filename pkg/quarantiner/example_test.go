package quarantiner_test

import (
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
)

// An endpoint death with several requests in progress makes all of them suspects. A
// suspect that ends normally while running alone is cleared, and one that repeatedly
// crashes endpoints while running alone is convicted.
func Example() {
	now := time.Unix(1000, 0)
	l := quarantiner.New(quarantiner.Config{Retention: time.Hour})
	offset := uint64(0)
	apply := func(kind quarantiner.Kind, fs ...quarantiner.Fingerprint) {
		offset++
		data, err := quarantiner.Event{Kind: kind, Endpoint: "e", Epoch: offset, Fingerprints: fs}.Encode()
		if err != nil {
			return
		}
		l.Apply(now, provider.Page{FirstRetained: 1, Next: offset + 1, Records: []provider.Record{{Offset: offset, AppendedAt: now, Data: data}}})
	}
	printStandings := func() {
		badStanding, _ := l.Standing("bad")
		goodStanding, _ := l.Standing("good")
		fmt.Println(badStanding == quarantiner.StandingConvicted, goodStanding == quarantiner.StandingClear)
	}
	apply(quarantiner.KindDeath, "bad", "good")
	printStandings()
	apply(quarantiner.KindCleared, "good")
	apply(quarantiner.KindDeath, "bad")
	printStandings()
	apply(quarantiner.KindDeath, "bad")
	printStandings()
	// Output:
	// false false
	// false true
	// true true
}
