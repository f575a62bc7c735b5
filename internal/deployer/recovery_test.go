package deployer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/authenticator"
	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/endpointclient"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/internal/keeper"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/platformclient"
	"flamingoledge.org/flamingoledge/internal/tracer"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

type framesFunc func() ([]endpointclient.Frame, bool)

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("not in time: " + what)
}

// quickSnapshots makes entries write snapshots after every record.
func quickSnapshots(c *entryserver.Config) {
	c.Snapshots.RecordInterval = 1
	c.Snapshots.RankDelay = 300 * time.Millisecond
}

func TestStartFromSnapshotAfterRetention(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, small(), deployer.Options{Entry: quickSnapshots})
	through := s.EntryServers[0].Status().ThroughOffset
	eventually(t, "snapshot reaches the last record", func() bool {
		snapshot, ok := keeper.NewestSnapshot(s.Platform.Records(provider.StreamSnapshots))
		return ok && snapshot.ThroughOffset == through
	})
	// Retention removes all but the last record under running processes.
	s.Platform.Trim(provider.StreamConfiguration, through)
	_, err := s.Publish(s.ctx, "workspace:late", workspaceBody())
	is.NoErr(err)
	is.NoErr(s.StartEntry("entry-new", "a"))
	fresh := s.EntryServers[len(s.EntryServers)-1]
	eventually(t, "new entry has the whole state", func() bool {
		return fresh.Status().Ready && fresh.Status().StateDigest == s.EntryServers[0].Status().StateDigest &&
			fresh.Status().ThroughOffset > through
	})
	eventually(t, "new entry answers", func() bool {
		reply, err := s.ask(len(s.Entries)-1, prompt("after retention"))
		return err == nil && reply.Outcome == entryserver.OutcomeAnswered
	})
}

func TestStartFromPeersWhileTheLogIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, small(), deployer.Options{})
	s.Platform.SetFaults(emulator.PlatformFaults{LogDown: true})
	is.NoErr(s.StartEntry("entry-new", "b"))
	fresh := s.EntryServers[len(s.EntryServers)-1]
	eventually(t, "new entry has its peers' state", func() bool {
		return fresh.Status().StateDigest == s.EntryServers[0].Status().StateDigest && fresh.Status().Ready
	})
	reply, err := s.ask(0, prompt("the log is down"))
	is.NoErr(err)
	is.Equal(reply.Outcome, entryserver.OutcomeAnswered) // the last state stays in force
	order, err := s.order(0, newKey(), []byte(`{}`))
	is.NoErr(err)
	is.Equal(order.Outcome, entryserver.OutcomeNotRun) // never run unclaimed
}

func TestNothingIsServedWithoutConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	topology := small()
	topology.Services = nil
	d, err := deployer.Start(ctx, topology, deployer.Options{Logger: zap.NewNop()})
	is.NoErr(err)
	defer d.Stop()
	d.Platform.SetFaults(emulator.PlatformFaults{LogDown: true, ListDown: true})
	is.NoErr(d.StartEntry("entry-alone", "a"))
	s := &system{Deployment: d, ctx: ctx, caller: newCaller()}
	reply, err := s.ask(len(s.Entries)-1, prompt("anybody there"))
	is.NoErr(err)
	is.Equal(reply.Code, entryserver.CodeNoConfiguration)
	is.Equal(reply.Outcome, entryserver.OutcomeNotRun)
}

// A region that is cut off from the log still gets new records through peers.
func TestRecordsReachARegionThatIsCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	topology := small()
	topology.Regions = []string{"a", "b", "c"}
	topology.Services[1].Endpoints = 3
	s := start(t, topology, deployer.Options{})
	s.Network.Cut("a", "b", true)
	offset, err := s.Publish(s.ctx, "workspace:late", workspaceBody())
	is.NoErr(err)
	eventually(t, "record is in force everywhere", func() bool {
		for _, e := range s.EntryServers {
			if e.Status().ThroughOffset < offset {
				return false
			}
		}
		for _, e := range s.Endpoints {
			if e.Server.ThroughOffset() < offset {
				return false
			}
		}
		return true
	})
}

func TestUnauthenticatedPeerGetsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, small(), deployer.Options{KeyDirectory: t.TempDir()})
	reply, err := s.ask(0, prompt("over TLS"))
	is.NoErr(err)
	is.Equal(reply.Outcome, entryserver.OutcomeAnswered)
	other, err := authenticator.NewIssuer(t.TempDir(), time.Now(), time.Hour)
	is.NoErr(err)
	files, err := other.Issue("stranger", time.Now(), time.Hour)
	is.NoErr(err)
	stranger, err := authenticator.New(files, zap.NewNop(), time.Now())
	is.NoErr(err)
	for name, d := range map[string]*connector.Dialer{
		"plain TCP":         {},
		"foreign authority": {TLS: stranger.ClientConfig()},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, address := range []string{s.Entries[0].Address, s.Endpoints[0].Sidecar.Address} {
				ctx, cancel := context.WithTimeout(s.ctx, 2*time.Second)
				conn, err := d.Dial(ctx, address)
				if err == nil {
					_, err = messenger.NewDRPCControlClient(conn).State(ctx, &messenger.StateRequest{})
					is.True(err != nil) // no record
					_, err = messenger.NewDRPCTransferClient(conn).Manifest(ctx, &messenger.ManifestRequest{VersionDigest: s.digest})
					is.True(err != nil) // no manifest, and no chunk
					_ = conn.Close()
				}
				cancel()
			}
		})
	}
}

func TestOutcomesAreTracedToTheirRecord(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, small(), deployer.Options{})
	key := newKey()
	reply, err := s.order(0, key, []byte(`{"pallets":1}`))
	is.NoErr(err)
	is.Equal(reply.Outcome, entryserver.OutcomeAnswered)
	client := platformclient.New(platformclient.Config{Address: s.PlatformAddress})
	var tr tracer.Trace
	eventually(t, "trace has request and claim", func() bool {
		tr, err = tracer.Find(s.ctx, client, reply.RequestID)
		return err == nil && len(tr.Entries) == 1 && len(tr.Claims) >= 1 && len(tr.Records) == 1
	})
	is.Equal(tr.Entries[0].AttemptID, reply.AttemptID)
	is.Equal(tr.Entries[0].RecordOffset, reply.RecordOffset)
	is.Equal(tr.Claims[0].Entry.IdempotencyKey, key)
	is.Equal(tr.Records[0].Offset, reply.RecordOffset)
	s.Platform.Trim(provider.StreamAudit, 1_000_000)
	_, err = tracer.Find(s.ctx, client, "no-such-request")
	var missing *tracer.NotFoundError
	is.True(errors.As(err, &missing))
	is.True(len(missing.Unknowable) > 0) // retention has made it unknowable
}
