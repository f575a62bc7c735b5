// Package synchronizer maintains the accepted configuration of a process and
// synchronizes it with the log, snapshots and peers. Every update passes the checks of
// package acceptor, so the through-offset never decreases.
package synchronizer

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// Configuration is the accepted configuration of a process. It is immutable.
type Configuration struct {
	State  acceptor.State
	Config interpreter.Config
	// Ready is true once the state has been complete up to the end of the log, or has
	// been received from a peer that was ready.
	Ready bool
	// NewestSchema is the newest schema version that this process supports.
	NewestSchema int
}

// NewConfiguration returns an empty configuration that is not ready and supports schema
// versions up to newest.
func NewConfiguration(newest int) Configuration {
	return Configuration{NewestSchema: newest, Config: interpreter.Interpret(acceptor.State{}, newest)}
}

// WithPage applies a page of the configuration stream. A *provider.GapError means that
// retention removed records, so that the state must be recovered from a snapshot or a
// peer.
func (c Configuration) WithPage(page provider.Page) (Configuration, []acceptor.Outcome, error) {
	if err := page.CheckContiguous(provider.StreamConfiguration, c.expectedFirstOffset(page)); err != nil {
		return c, nil, err
	}
	records := make([]acceptor.LogRecord, len(page.Records))
	for i, r := range page.Records {
		records[i] = acceptor.LogRecord{Offset: r.Offset, Data: r.Data}
	}
	next := c
	var outcomes []acceptor.Outcome
	next.State, outcomes = c.State.WithRecords(records)
	next.Ready = c.Ready || next.State.LastOffset()+1 >= page.Next
	if next.State.LastOffset() != c.State.LastOffset() {
		next.Config = interpreter.Interpret(next.State, c.NewestSchema)
	}
	return next, outcomes, nil
}

// expectedFirstOffset returns the offset at which the page must start: the one after the
// through-offset, or the start of the page if the state of a peer already covers it.
func (c Configuration) expectedFirstOffset(page provider.Page) uint64 {
	expected := c.State.LastOffset() + 1
	if len(page.Records) > 0 && page.Records[0].Offset < expected {
		return page.Records[0].Offset
	}
	return expected
}

// WithUpdate merges accepted records that were received from a peer.
func (c Configuration) WithUpdate(u *messenger.Update) (Configuration, error) {
	records := make([]acceptor.LogRecord, len(u.GetRecords()))
	for i, r := range u.GetRecords() {
		records[i] = acceptor.LogRecord{Offset: r.GetOffset(), Data: r.GetData()}
	}
	return c.withAcceptedRecords(u.GetThroughOffset(), u.GetStateDigest(), records)
}

// withAcceptedRecords merges accepted records, checks the result against the expected
// state digest and makes the configuration ready.
func (c Configuration) withAcceptedRecords(throughOffset uint64, digest []byte, records []acceptor.LogRecord) (Configuration, error) {
	var want acceptor.Digest
	if copy(want[:], digest) != len(want) {
		return c, eris.Errorf("state digest has %d bytes, want %d", len(digest), len(want))
	}
	next := c
	var err error
	if next.State, err = c.State.WithAcceptedRecords(throughOffset, want, records); err != nil {
		return c, err
	}
	next.Ready = true
	if next.State.LastOffset() != c.State.LastOffset() {
		next.Config = interpreter.Interpret(next.State, c.NewestSchema)
	}
	return next, nil
}

// Update returns the accepted records above an offset, as sent to a peer.
func (c Configuration) Update(aboveOffset uint64) *messenger.Update {
	digest := c.State.Digest()
	u := &messenger.Update{ThroughOffset: c.State.LastOffset(), StateDigest: digest[:]}
	for _, a := range c.State.RecordsAfter(aboveOffset) {
		u.Records = append(u.Records, &messenger.Record{Offset: a.Offset, Data: a.Data})
	}
	return u
}

// Snapshot is one record of the snapshots stream.
type Snapshot struct {
	ThroughOffset uint64           `json:"through_offset"`
	StateDigest   []byte           `json:"state_digest"`
	Records       []SnapshotRecord `json:"records"`
}

// SnapshotRecord is an accepted record as it was read from the log.
type SnapshotRecord struct {
	Offset uint64 `json:"offset"`
	// Data is stored as bytes, because the digest covers its exact encoding.
	Data []byte `json:"data"`
}

// Snapshot returns a snapshot of the accepted state.
func (c Configuration) Snapshot() Snapshot {
	digest := c.State.Digest()
	s := Snapshot{ThroughOffset: c.State.LastOffset(), StateDigest: digest[:]}
	for _, a := range c.State.RecordsAfter(0) {
		s.Records = append(s.Records, SnapshotRecord{Offset: a.Offset, Data: a.Data})
	}
	return s
}

// WithSnapshot merges a snapshot. It does not make a configuration ready, because the
// log may contain newer records.
func (c Configuration) WithSnapshot(s Snapshot) (Configuration, error) {
	records := make([]acceptor.LogRecord, len(s.Records))
	for i, r := range s.Records {
		records[i] = acceptor.LogRecord{Offset: r.Offset, Data: r.Data}
	}
	next, err := c.withAcceptedRecords(s.ThroughOffset, s.StateDigest, records)
	if err != nil {
		return c, err
	}
	next.Ready = c.Ready
	return next, nil
}

// NewestSnapshot returns the snapshot with the highest through-offset. Records that
// can't be decoded are skipped.
func NewestSnapshot(records []provider.Record) (newest Snapshot, ok bool) {
	for _, r := range records {
		var s Snapshot
		if json.Unmarshal(r.Data, &s) == nil && (!ok || s.ThroughOffset > newest.ThroughOffset) {
			newest, ok = s, true
		}
	}
	return newest, ok
}
