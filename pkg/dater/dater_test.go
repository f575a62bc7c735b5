package dater_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/dater"
)

func TestLastBefore(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(model string, version uint64, age time.Duration) dater.Confirmation {
		return dater.Confirmation{Model: model, Version: version, At: now.Add(-age)}
	}
	tests := map[string]struct {
		confirmations []dater.Confirmation
		// want is the age of the last confirmation before version 5 of model m; 0 for none.
		want time.Duration
	}{
		"nothing known":           {},
		"older version":           {confirmations: []dater.Confirmation{ago("m", 4, 3*time.Second)}, want: 3 * time.Second},
		"no version named":        {confirmations: []dater.Confirmation{ago("m", 0, 3*time.Second)}, want: 3 * time.Second},
		"latest counts":           {confirmations: []dater.Confirmation{ago("m", 4, 3*time.Second), ago("m", 4, 2*time.Second), ago("m", 4, 5*time.Second)}, want: 2 * time.Second},
		"latest of two versions":  {confirmations: []dater.Confirmation{ago("m", 3, 7*time.Second), ago("m", 4, 6*time.Second)}, want: 6 * time.Second},
		"same and newer versions": {confirmations: []dater.Confirmation{ago("m", 5, time.Second), ago("m", 6, time.Second)}},
		"other model":             {confirmations: []dater.Confirmation{ago("l", 4, time.Second), ago("n", 4, time.Second)}},
		"confirmed since":         {confirmations: []dater.Confirmation{ago("m", 4, 3*time.Second), ago("m", 5, time.Second)}, want: 3 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c dater.Confirmations
			for _, n := range tc.confirmations {
				c = c.With(n)
			}
			at, ok := c.LastBefore("m", 5)
			is.Equal(ok, tc.want > 0)
			if ok {
				is.Equal(now.Sub(at), tc.want)
			}
		})
	}
}

// TestConfirmationsAreBounded checks that only the newest versions are retained, for each
// model.
func TestConfirmationsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := dater.Confirmations{}.With(dater.Confirmation{Model: "a", Version: 1, At: now})
	before := c
	for v := range uint64(20) {
		c = c.With(dater.Confirmation{Model: "m", Version: v, At: now})
	}
	is.Equal(len(before.All()), 1) // immutable
	is.Equal(len(c.All()), 5)
	_, ok := c.LastBefore("m", 19)
	is.True(ok)
	_, ok = c.LastBefore("m", 16)
	is.True(!ok)
	_, ok = c.LastBefore("a", 2)
	is.True(ok)
}

// TestNamings checks which of two naming times of a version is kept.
func TestNamings(t *testing.T) {
	now := time.Unix(1000, 0)
	named := func(age time.Duration, undated bool) dater.Naming {
		return dater.Naming{Model: "m", Version: 5, At: now.Add(-age), Undated: undated}
	}
	tests := map[string]struct {
		known, told, want dater.Naming
	}{
		"earlier":                {known: named(time.Second, false), told: named(3*time.Second, false), want: named(3*time.Second, false)},
		"later":                  {known: named(3*time.Second, false), told: named(time.Second, false), want: named(3*time.Second, false)},
		"noticed by an entry":    {known: named(3*time.Second, true), told: named(time.Second, false), want: named(time.Second, false)},
		"not noticed by another": {known: named(time.Second, false), told: named(3*time.Second, true), want: named(time.Second, false)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := dater.Namings{}.With(tc.known).With(tc.told)
			is.Equal(n.All(), []dater.Naming{tc.want})
		})
	}
}
