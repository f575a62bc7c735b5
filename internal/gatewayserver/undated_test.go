package gatewayserver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/platform"
)

// TestVersionNamedWhileNoEntryRan checks from when a version counts that an entry reads right
// after its start: from the last time at which a sidecar was told of an older version, but
// only if no entry noticed the naming.
func TestVersionNamedWhileNoEntryRan(t *testing.T) {
	const (
		ms  = time.Millisecond
		run = 3 * time.Second
	)
	readAt := time.Unix(1000, 0)
	confirmed := func(version uint64, ageMs uint32) versionsConfirmed {
		return versionsConfirmed{confirmed: []*messenger.ConfirmedVersion{{Model: "m", Version: version, AgeMs: ageMs}}}
	}
	presence := func(ageMs uint32, undated bool, told ...*messenger.ConfirmedVersion) presenceReceived {
		return presenceReceived{presence: &messenger.Presence{
			Address: "10.0.0.9:1", Newest: []*messenger.NamedVersion{{Model: "m", Version: 2, AgeMs: ageMs, Undated: undated}}, Confirmed: told,
		}}
	}
	naming := func(age time.Duration, undated bool) platform.NamingRecord {
		return platform.NamingRecord{Model: "m", Version: 2, NamedUnixMillis: readAt.Add(-age).UnixMilli(), Undated: undated}
	}
	type events map[time.Duration]controller.Event
	tests := map[string]struct {
		// stored are the naming records at the first read, and storedLater after datingDelay.
		stored, storedLater []platform.NamingRecord
		// failedAt is when a read failed before the first one, and confirmedAt when the
		// configuration was last confirmed, relative to readAt; 0 for never.
		failedAt, confirmedAt time.Duration
		// events are by the time since readAt.
		events events
		// want is the age at readAt.
		want        time.Duration
		wantUndated bool
	}{
		"no sidecar knows":                                 {wantUndated: true},
		"a sidecar knows the older version":                {events: events{100 * ms: confirmed(1, 3300)}, want: 3200 * ms},
		"no version had been named":                        {events: events{100 * ms: confirmed(0, 3300)}, want: 3200 * ms},
		"a sidecar knows before the first read":            {events: events{-100 * ms: confirmed(1, 3300)}, want: 3400 * ms},
		"a sidecar tells late":                             {events: events{2 * time.Second: confirmed(1, 5300)}, want: 3300 * ms},
		"a sidecar knows the same version":                 {events: events{100 * ms: confirmed(2, 100)}, wantUndated: true},
		"the last of two sidecars counts":                  {events: events{100 * ms: confirmed(1, 9300), 200 * ms: confirmed(1, 3400)}, want: 3200 * ms},
		"the sidecar of a peer counts":                     {events: events{100 * ms: confirmed(1, 9300), 200 * ms: presence(100, true, &messenger.ConfirmedVersion{Model: "m", Version: 1, AgeMs: 3400})}, want: 3200 * ms},
		"a peer noticed it":                                {events: events{100 * ms: confirmed(1, 3300), 400 * ms: presence(500, false)}, want: 100 * ms},
		"a peer noticed it no more than this entry":        {events: events{100 * ms: confirmed(1, 3300), 400 * ms: presence(500, true)}, want: 3200 * ms},
		"an entry stored it":                               {stored: []platform.NamingRecord{naming(200*ms, false)}, events: events{100 * ms: confirmed(1, 3300)}, want: 200 * ms},
		"an entry stored it meanwhile":                     {storedLater: []platform.NamingRecord{naming(200*ms, false)}, events: events{100 * ms: confirmed(1, 3300)}, want: 200 * ms},
		"an entry stored when it read it":                  {stored: []platform.NamingRecord{naming(200*ms, true)}, events: events{100 * ms: confirmed(1, 3300)}, want: 3200 * ms},
		"an entry stored when it read it, no sidecar":      {stored: []platform.NamingRecord{naming(200*ms, true)}, want: 200 * ms, wantUndated: true},
		"the store was away":                               {failedAt: -400 * ms, events: events{100 * ms: confirmed(1, 3300)}, want: 400 * ms},
		"this entry ran before, so that it was noticed":    {confirmedAt: -600 * ms, events: events{100 * ms: confirmed(1, 3300)}, want: 600 * ms},
		"a sidecar was told after the version by an entry": {events: events{100 * ms: confirmed(1, 3300), 200 * ms: confirmed(2, 50)}, want: 3200 * ms},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s state
			requests, stored := 0, 0
			var handle func(now time.Time, e controller.Event)
			handle = func(now time.Time, e controller.Event) {
				var actions []controller.Action
				for _, c := range []controller.Controller[state]{configurationController{}, datingController{}, peersController{}} {
					var produced []controller.Action
					s, produced = c.Handle(now, s, e)
					actions = append(actions, produced...)
				}
				for _, a := range actions {
					switch a := a.(type) {
					case namingNeeded:
						requests++
						handle(now, configRead{}.withNamings(now, append(tc.stored, tc.storedLater...)))
						handle(now, namingUnstored(a))
					case versionFirstSeen:
						stored++
						is.Equal(now.Sub(s.config.newest("m").KnownSince), a.age)
					}
				}
			}
			if tc.confirmedAt != 0 {
				s.config.confirmedAt = readAt.Add(tc.confirmedAt)
			}
			for at := -time.Second; at <= run; at += tickInterval {
				if e := tc.events[at]; e != nil {
					handle(readAt.Add(at), e)
				}
				if at == 0 {
					read := configRead{
						source: sourceStore, afterGap: true, startedAt: readAt,
						values: []platform.Value{{Key: "version/m", Data: []byte(`{"model":"m","version":2}`)}},
					}
					if tc.failedAt != 0 {
						read.failedAt = readAt.Add(tc.failedAt)
					}
					handle(readAt, read.withNamings(readAt, tc.stored))
				}
				handle(readAt.Add(at), controller.Tick{})
			}
			is.Equal(readAt.Sub(s.config.newest("m").KnownSince), tc.want)
			is.Equal(s.config.isUndated("m", 2), tc.wantUndated)
			is.True(requests <= 1)
			is.True(stored <= 2) // when it was read and when it was dated
		})
	}
}

// TestSidecarsCorrectStoredNamingTimes guards against a version bound that ends late after a stop of
// all entries because the stored naming time is that of a clock that was ahead.
func TestSidecarsCorrectStoredNamingTimes(t *testing.T) {
	const (
		ms = time.Millisecond
		// storedAge is the age that the stored time gives, and toldAge the one that sidecars tell.
		storedAge, toldAge = 1100 * ms, 3500 * ms
	)
	told := func(version uint64, undated bool) namingsTold {
		return namingsTold{named: []*messenger.NamedVersion{{Model: "m", Version: version, AgeMs: uint32(toldAge / ms), Undated: undated}}}
	}
	tests := map[string]struct {
		told namingsTold
		// floor is the age of the last confirmation that lacked the version; 0 for none.
		floor time.Duration
		want  time.Duration
	}{
		"sidecars know better":              {told: told(2, false), want: toldAge},
		"an entry noticed it late":          {told: told(2, true), want: toldAge},
		"the version was named after that":  {told: told(2, false), floor: 1500 * ms, want: 1500 * ms},
		"an older version":                  {told: told(1, false), want: storedAge},
		"a version that the store has lost": {told: told(3, false), want: storedAge},
		"nothing told":                      {want: storedAge},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			var c config
			c = c.withVersionAges(now, []versionAge{{model: "m", version: 2, age: storedAge}}, confirmation{})
			if tc.floor > 0 {
				c.namingFloors = namingFloors{{model: "m", version: 2}: now.Add(-tc.floor)}
			}
			s, _ := datingController{}.Handle(now, state{config: c}, tc.told)
			is.Equal(s.config.newest("m").Version, uint64(2))
			is.Equal(now.Sub(s.config.newest("m").KnownSince), tc.want)
		})
	}
}
