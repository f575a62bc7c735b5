package gatewayserver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/platform"
	"flamingoledge.org/flamingoledge/platform/standin"
)

const (
	namingTestBound = 8 * time.Second
	// handlingTime bounds the time from reading a naming record to handling it, also on a
	// busy machine. The cases differ by more.
	handlingTime = 2 * time.Second
)

// newNamingServer returns a server that can only record naming times, in store.
func newNamingServer(t *testing.T, store *standin.Store) *Server {
	t.Helper()
	n := configurator.DefaultNode()
	n.Store = store.Address()
	n.Bounds.VersionMillis = namingTestBound.Milliseconds()
	s := &Server{cfg: Config{Settings: n, Clock: time.Now, Logger: zap.NewNop()}}
	s.board = controller.New(controller.Config[state]{
		Controllers: []controller.Controller[state]{configurationController{}}, QueueLength: 16, TickInterval: time.Second,
		Clock: time.Now, Perform: func(controller.Action) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.board.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// awaitEvents waits until the events that were sent before have been handled.
func awaitEvents(t *testing.T, s *Server) {
	t.Helper()
	const model = "awaited"
	if err := s.board.Send(t.Context(), configRead{versionAges: []versionAge{{model: model, version: 1}}}); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); s.board.View().config.newest(model).Version == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("events were not handled in time")
		}
	}
}

// storeNaming stores a naming record of model m.
func storeNaming(t *testing.T, store *standin.Store, version uint64, at time.Time) {
	t.Helper()
	n := platform.NamingRecord{Model: "m", Version: version, NamedUnixMillis: at.UnixMilli()}
	value, err := n.Encode()
	if err != nil {
		t.Fatal(err)
	}
	ps := platform.NewNamingStore(store.Address())
	defer ps.Close()
	if err = ps.Append(n.Key(), value, time.Second); err != nil {
		t.Fatal(err)
	}
}

// storedNaming returns the stored naming time of a version of model m.
func storedNaming(t *testing.T, store *standin.Store, version uint64) (at time.Time, ok bool) {
	t.Helper()
	ps := platform.NewNamingStore(store.Address())
	defer ps.Close()
	values, _, err := ps.ReadLatest(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range values {
		n, derr := platform.DecodeNamingRecord(v.Key, v.Data)
		if derr != nil {
			t.Fatal(derr)
		}
		if n.Version == version {
			return time.UnixMilli(n.NamedUnixMillis), true
		}
	}
	return time.Time{}, false
}

// TestNamingTimeIsStoredAfterOutage guards against a version bound that counts anew after
// all entries have been started again, because the store was away right after the naming.
func TestNamingTimeIsStoredAfterOutage(t *testing.T) {
	const outage = 3 * time.Second
	is := is.New(t)
	store := standin.NewStore()
	defer store.Close()
	s := newNamingServer(t, store)
	store.SetDown(true)
	namedAt := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.recordNaming("m", 2, namedAt)
	}()
	time.Sleep(outage)
	store.SetDown(false)
	select {
	case <-done:
	case <-time.After(namingTestBound):
		t.Fatal("recordNaming did not return")
	}
	at, ok := storedNaming(t, store, 2)
	is.True(ok)
	is.True(at.Sub(namedAt).Abs() < namingTolerance)
}

// TestStoredNamingTime checks which naming time an entry stores and adopts where the store
// may have one already.
func TestStoredNamingTime(t *testing.T) {
	const noticedAgo = 50 * time.Millisecond
	tests := map[string]struct {
		// stored is the stored naming time, relative to now; 0 for none.
		stored time.Duration
		// wantStored and wantKnown are the stored time and the one that the entry knows.
		wantStored, wantKnown time.Duration
	}{
		"none":                             {wantStored: -noticedAgo, wantKnown: -noticedAgo},
		"noticed earlier by another entry": {stored: -10 * time.Second, wantStored: -10 * time.Second, wantKnown: -10 * time.Second},
		"noticed later by another entry":   {stored: -10 * time.Millisecond, wantStored: -10 * time.Millisecond, wantKnown: -noticedAgo},
		"by a clock that is ahead":         {stored: 10 * time.Second, wantStored: -noticedAgo, wantKnown: -noticedAgo},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := standin.NewStore()
			defer store.Close()
			s := newNamingServer(t, store)
			now := time.Now()
			is.NoErr(s.board.Send(t.Context(), configRead{versionAges: []versionAge{{model: "m", version: 2, age: noticedAgo}}}))
			if tc.stored != 0 {
				storeNaming(t, store, 2, now.Add(tc.stored))
			}
			s.recordNaming("m", 2, now.Add(-noticedAgo))
			at, ok := storedNaming(t, store, 2)
			is.True(ok)
			is.True(at.Sub(now.Add(tc.wantStored)).Abs() < 5*time.Millisecond)
			awaitEvents(t, s)
			// An age is the older the later it is read, while the time that it is counted from
			// is that of its handling.
			is.True(s.board.View().config.newest("m").KnownSince.Sub(now.Add(tc.wantKnown)).Abs() < handlingTime)
		})
	}
}

// TestEarliestNamingTimeIsStored guards against a version bound that ends late after a stop of all
// entries: two entries notice a version at once, and the one whose clock is ahead writes last.
func TestEarliestNamingTimeIsStored(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore()
	defer store.Close()
	held, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	delayed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			once.Do(func() {
				close(held)
				<-release
			})
		}
		store.ServeHTTP(w, r)
	}))
	defer delayed.Close()
	ahead, exact := newNamingServer(t, store), newNamingServer(t, store)
	ahead.cfg.Settings.Store = delayed.Listener.Addr().String()
	namedAt := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		ahead.recordNaming("m", 2, namedAt.Add(2400*time.Millisecond))
	}()
	<-held
	exact.recordNaming("m", 2, namedAt)
	close(release)
	<-done
	at, ok := storedNaming(t, store, 2)
	is.True(ok)
	is.True(at.Sub(namedAt).Abs() < 5*time.Millisecond)
}

// TestNamingTimesOfOlderVersionsAreAdopted guards against an entry that enforces the bound
// of the newest version only, because it could not read the naming times at its start.
func TestNamingTimesOfOlderVersionsAreAdopted(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore()
	defer store.Close()
	s := newNamingServer(t, store)
	now := time.Now()
	storeNaming(t, store, 2, now.Add(-3*time.Second))
	storeNaming(t, store, 3, now.Add(-time.Second))
	is.NoErr(s.board.Send(t.Context(), configRead{versionAges: []versionAge{{model: "m", version: 3}}}))
	s.recordNaming("m", 3, now)
	awaitEvents(t, s)
	versions := s.board.View().config.versions["m"]
	is.Equal(len(versions), 2)
	is.Equal(versions[0].Version, uint64(2))
	is.True(versions[0].KnownSince.Sub(now.Add(-3*time.Second)).Abs() < handlingTime)
}
