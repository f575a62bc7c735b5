package claimer_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"flamingoledge.org/flamingoledge/pkg/claimer"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

func entry(kind claimer.Kind, key, attempt string) claimer.Entry {
	return claimer.Entry{Kind: kind, Key: claimer.Key{Workspace: "w", Service: "s", IdempotencyKey: key}, AttemptID: attempt}
}

// Ledgers that read the same stream in different pages agree on the owner of each
// key, for any order of claims, releases and copies.
func TestLedgersDoNotDependOnPaging(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		var records []provider.Record
		for i := range rapid.IntRange(0, 40).Draw(t, "entries") {
			e := entry(
				rapid.SampledFrom([]claimer.Kind{claimer.KindClaim, claimer.KindRelease, claimer.KindAnswered}).Draw(t, "kind"),
				rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"),
				rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "attempt"))
			data, err := e.Encode()
			is.NoErr(err)
			records = append(records, provider.Record{Offset: uint64(i + 1), AppendedAt: now, Data: data})
		}
		next := uint64(len(records) + 1)
		cfg := claimer.Config{Window: time.Minute, ClockSkew: time.Second}
		whole, paged := claimer.New(cfg), claimer.New(cfg)
		whole.Apply(now, provider.Page{FirstRetained: 1, Next: next, Records: records})
		for rest := records; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "page")
			paged.Apply(now, provider.Page{FirstRetained: 1, Next: next, Records: rest[:n]})
			rest = rest[n:]
		}
		for _, key := range []string{"a", "b"} {
			k := entry("", key, "").Key
			x, okX := whole.ActiveClaim(k)
			y, okY := paged.ActiveClaim(k)
			is.Equal(okX, okY)
			is.Equal(x, y)
		}
	})
}

func TestKeyAge(t *testing.T) {
	now := time.Unix(10_000, 0)
	cfg := claimer.Config{Window: time.Minute, ClockSkew: time.Second}
	trimmed := provider.Page{FirstRetained: 5, Next: 6, Records: []provider.Record{{Offset: 5, AppendedAt: now.Add(-30 * time.Second), Data: []byte(`{}`)}}}
	for name, tc := range map[string]struct {
		page     provider.Page
		issuedAt time.Time
		refused  bool
	}{
		"young":                                  {provider.Page{FirstRetained: 1, Next: 1}, now.Add(-time.Second), false},
		"older than the window":                  {provider.Page{FirstRetained: 1, Next: 1}, now.Add(-2 * time.Minute), true},
		"issued in the future":                   {provider.Page{FirstRetained: 1, Next: 1}, now.Add(time.Minute), true},
		"issued after the first retained claim":  {trimmed, now.Add(-20 * time.Second), false},
		"issued before the first retained claim": {trimmed, now.Add(-40 * time.Second), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := claimer.New(cfg)
			l.Apply(now, tc.page)
			var age *claimer.KeyAgeError
			is.Equal(errors.As(l.CheckAge(now, tc.issuedAt), &age), tc.refused)
		})
	}
}

func TestClaimsExpireOnlyAfterTheirKeys(t *testing.T) {
	is := is.New(t)
	start := time.Unix(10_000, 0)
	cfg := claimer.Config{Window: time.Minute, ClockSkew: time.Second}
	l := claimer.New(cfg)
	data, err := entry(claimer.KindClaim, "a", "x").Encode()
	is.NoErr(err)
	l.Apply(start, provider.Page{FirstRetained: 1, Next: 2, Records: []provider.Record{{Offset: 1, AppendedAt: start, Data: data}}})
	for age := time.Duration(0); age < 2*time.Minute; age += time.Second {
		now := start.Add(age)
		l.Apply(now, provider.Page{FirstRetained: 1, Next: 2})
		_, active := l.ActiveClaim(entry("", "a", "").Key)
		// The time in a key may be up to ClockSkew after its claim was appended.
		refused := l.CheckAge(now, start.Add(cfg.ClockSkew)) != nil
		is.True(active || refused)
	}
	is.Equal(l.Len(), 0)
}
