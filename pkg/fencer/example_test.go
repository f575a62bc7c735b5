package fencer_test

import (
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/pkg/fencer"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

func page(incarnations ...string) provider.Page {
	p := provider.Page{FirstRetained: 1, Next: uint64(len(incarnations) + 1)}
	for i, inc := range incarnations {
		data, err := fencer.Entry{Endpoint: "engine-1", Incarnation: inc}.Encode()
		if err != nil {
			return provider.Page{}
		}
		p.Records = append(p.Records, provider.Record{Offset: uint64(i + 1), Data: data})
	}
	return p
}

// A lease expires if it is not renewed. A newer incarnation supersedes it
// permanently.
func Example() {
	now := time.Unix(1000, 0)
	l := fencer.New(fencer.Config{Endpoint: "engine-1", Incarnation: "old", Duration: 5 * time.Second})
	fmt.Println(l.Check(now))
	l = l.WithPage(now, page("old"))
	fmt.Println(l.Check(now), "with number", l.FencingNumber())
	fmt.Println(l.Check(now.Add(6 * time.Second)))
	l = l.WithPage(now, page("old", "new"))
	fmt.Println(l.Check(now))
	// Output:
	// lease on endpoint engine-1: no fencing number yet
	// <nil> with number 1
	// lease on endpoint engine-1: not renewed for 6s
	// lease on endpoint engine-1: superseded by fencing number 2, own is 1
}

// Entries that retention removed before they were read may have included a newer
// incarnation.
func ExampleLease_WithPage_gap() {
	now := time.Unix(1000, 0)
	l := fencer.New(fencer.Config{Endpoint: "engine-1", Incarnation: "old", Duration: time.Hour}).WithPage(now, page("old"))
	l = l.WithPage(now, provider.Page{FirstRetained: 9, Next: 9})
	fmt.Println(l.Check(now))
	// Output: lease on endpoint engine-1: superseded by fencing number 9, own is 1
}
