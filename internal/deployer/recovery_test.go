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
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/platformclient"
	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/internal/tracer"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

type framesFunc func() ([]endpointclient.Frame, bool)

// eventually polls ok and fails the test if it does not become true within 10 seconds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("timed out waiting for: " + what)
}

// snapshotEveryRecord makes entries write a snapshot after every record.
func snapshotEveryRecord(c *entryserver.Config) {
	c.Snapshots.RecordInterval = 1
	c.Snapshots.RankDelay = 300 * time.Millisecond
}

func TestEntryStartsFromSnapshotAfterLogTrim(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, smallTopology(), deployer.Options{ConfigureEntry: snapshotEveryRecord})
	lastOffset := s.EntryServers[0].Status().ThroughOffset
	eventually(t, "snapshot includes the last record", func() bool {
		snapshot, ok := synchronizer.NewestSnapshot(s.Platform.Records(provider.StreamSnapshots))
		return ok && snapshot.ThroughOffset == lastOffset
	})
	// Retention removes all but the last record while processes run.
	s.Platform.Trim(provider.StreamConfiguration, lastOffset)
	_, err := s.Publish(s.ctx, "workspace:late", workspaceBody())
	is.NoErr(err)
	is.NoErr(s.StartEntry("entry-new", "a"))
	newEntry := s.EntryServers[len(s.EntryServers)-1]
	eventually(t, "new entry has the complete state", func() bool {
		return newEntry.Status().Ready && newEntry.Status().StateDigest == s.EntryServers[0].Status().StateDigest &&
			newEntry.Status().ThroughOffset > lastOffset
	})
	eventually(t, "new entry answers", func() bool {
		reply, err := s.generate(len(s.Entries)-1, promptBody("after retention"))
		return err == nil && reply.Outcome == entryserver.OutcomeAnswered
	})
}

func TestEntryStartsFromPeersWhileLogIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, smallTopology(), deployer.Options{})
	s.Platform.SetFaults(emulator.PlatformFaults{LogDown: true})
	is.NoErr(s.StartEntry("entry-new", "b"))
	newEntry := s.EntryServers[len(s.EntryServers)-1]
	eventually(t, "new entry has the state of its peers", func() bool {
		return newEntry.Status().StateDigest == s.EntryServers[0].Status().StateDigest && newEntry.Status().Ready
	})
	reply, err := s.generate(0, promptBody("the log is down"))
	is.NoErr(err)
	is.Equal(reply.Outcome, entryserver.OutcomeAnswered) // entries keep using the last configuration
	order, err := s.order(0, newID(), []byte(`{}`))
	is.NoErr(err)
	is.Equal(order.Outcome, entryserver.OutcomeNotRun) // must not run without a claim
}

func TestRequestsAreRefusedWithoutConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	topology := smallTopology()
	topology.Services = nil
	d, err := deployer.Start(ctx, topology, deployer.Options{Logger: zap.NewNop()})
	is.NoErr(err)
	defer d.Stop()
	d.Platform.SetFaults(emulator.PlatformFaults{LogDown: true, ListDown: true})
	is.NoErr(d.StartEntry("entry-alone", "a"))
	s := &system{Deployment: d, ctx: ctx, caller: newCaller()}
	reply, err := s.generate(len(s.Entries)-1, promptBody("anybody there"))
	is.NoErr(err)
	is.Equal(reply.Code, entryserver.CodeNoConfiguration)
	is.Equal(reply.Outcome, entryserver.OutcomeNotRun)
}

// A region that is partitioned from the region of the log receives new records from peers
// in a third region.
func TestRecordsReachPartitionedRegion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	topology := smallTopology()
	topology.Regions = []string{"a", "b", "c"}
	topology.Services[1].Endpoints = 3
	s := start(t, topology, deployer.Options{})
	s.Network.SetPartitioned("a", "b", true)
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

func TestUnauthenticatedPeerIsRejected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, smallTopology(), deployer.Options{KeyDirectory: t.TempDir()})
	reply, err := s.generate(0, promptBody("over TLS"))
	is.NoErr(err)
	is.Equal(reply.Outcome, entryserver.OutcomeAnswered)
	other, err := authenticator.NewIssuer(t.TempDir(), time.Now(), time.Hour)
	is.NoErr(err)
	files, err := other.Issue("stranger", time.Now(), time.Hour)
	is.NoErr(err)
	foreignAuth, err := authenticator.New(files, zap.NewNop(), time.Now())
	is.NoErr(err)
	for name, d := range map[string]*connector.Dialer{
		"plain TCP":         {},
		"foreign authority": {TLS: foreignAuth.ClientConfig()},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, address := range []string{s.Entries[0].Address, s.Endpoints[0].Sidecar.Address} {
				ctx, cancel := context.WithTimeout(s.ctx, 2*time.Second)
				conn, err := d.Dial(ctx, address)
				if err == nil {
					_, err = messenger.NewDRPCControlClient(conn).State(ctx, &messenger.StateRequest{})
					is.True(err != nil) // no configuration records
					_, err = messenger.NewDRPCTransferClient(conn).Manifest(ctx, &messenger.ManifestRequest{VersionDigest: s.digest})
					is.True(err != nil) // no manifest, and hence no chunks
					_ = conn.Close()
				}
				cancel()
			}
		})
	}
}

func TestTraceFindsRecordOfRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, smallTopology(), deployer.Options{})
	key := newID()
	reply, err := s.order(0, key, []byte(`{"pallets":1}`))
	is.NoErr(err)
	is.Equal(reply.Outcome, entryserver.OutcomeAnswered)
	client := platformclient.New(platformclient.Config{Address: s.PlatformAddress})
	var tr tracer.Trace
	eventually(t, "trace contains request and claim", func() bool {
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
	is.True(len(missing.Gaps) > 0) // the trimmed log can't answer it
}
