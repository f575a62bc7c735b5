// Package claimer decides which attempt may run a request that must run at most
// once. The claims stream of the platform's log orders the claims on each
// idempotency key. The unreleased claim with the lowest offset owns the key. The
// decision depends only on that stream.
package claimer

import (
	"encoding/json"
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/pkg/provider"
)

// Key identifies a request that may run at most once.
type Key struct {
	Workspace      string `json:"workspace"`
	Service        string `json:"service"`
	IdempotencyKey string `json:"idempotency_key"`
}

// Kind is the kind of an entry of the claims stream.
type Kind string

// Kinds of entries.
const (
	// KindClaim claims a key for an attempt.
	KindClaim Kind = "claim"
	// KindRelease releases a key because its attempt certainly did not run.
	KindRelease Kind = "release"
	// KindAnswered records that the attempt ran and its answer was complete.
	KindAnswered Kind = "answered"
)

// Entry is one record of the claims stream.
type Entry struct {
	Kind Kind `json:"kind"`
	Key
	AttemptID  string `json:"attempt_id"`
	RequestID  string `json:"request_id"`
	Instance   string `json:"instance"`
	BodyDigest string `json:"body_digest"`
}

// Encode returns the entry in the encoding of the stream's records.
func (e Entry) Encode() (json.RawMessage, error) { return json.Marshal(e) }

// Claim is the active claim on a key, that is, the one that owns it.
type Claim struct {
	Offset    uint64
	ClaimedAt time.Time
	Entry     Entry
	Answered  bool
}

// Config configures a Ledger.
type Config struct {
	// Window is how long a key is protected against repeated runs, from the time
	// in the key.
	Window time.Duration
	// ClockSkew is the maximum difference between the clocks of processes.
	ClockSkew time.Duration
}

// Ledger holds the active claims. It is not safe for concurrent use.
type Ledger struct {
	cfg            Config
	next           uint64
	historySince   time.Time
	hasFullHistory bool
	claims         map[Key]Claim
	expiries       []expiry
}

type expiry struct {
	key       Key
	offset    uint64
	claimedAt time.Time
}

// New returns an empty ledger that starts at the first record of the stream.
func New(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, next: 1, hasFullHistory: true, claims: map[Key]Claim{}}
}

// Next returns the offset of the claims stream to read next.
func (l *Ledger) Next() uint64 { return l.next }

// Len returns the number of active claims.
func (l *Ledger) Len() int { return len(l.claims) }

// Apply applies a page that was read from Next on. If the page starts at a later
// offset, retention has removed entries; from then on only keys that are newer
// than the page's first record can be protected.
func (l *Ledger) Apply(now time.Time, page provider.Page) {
	first := page.FirstRetained
	if len(page.Records) > 0 {
		first = page.Records[0].Offset
	}
	if first > l.next {
		l.hasFullHistory = false
		l.historySince = now
		if len(page.Records) > 0 {
			l.historySince = page.Records[0].AppendedAt
		}
		l.next = first
	}
	l.next = page.ForEachFrom(l.next, func(r provider.Record) {
		var e Entry
		if json.Unmarshal(r.Data, &e) == nil {
			l.applyEntry(r, e)
		}
	})
	l.expire(now)
}

func (l *Ledger) applyEntry(r provider.Record, e Entry) {
	active, ok := l.claims[e.Key]
	switch {
	case e.Kind == KindClaim && !ok:
		l.claims[e.Key] = Claim{Offset: r.Offset, ClaimedAt: r.AppendedAt, Entry: e}
		l.expiries = append(l.expiries, expiry{key: e.Key, offset: r.Offset, claimedAt: r.AppendedAt})
	case !ok || active.Entry.AttemptID != e.AttemptID:
		return
	case e.Kind == KindRelease:
		delete(l.claims, e.Key)
	case e.Kind == KindAnswered:
		active.Answered = true
		l.claims[e.Key] = active
	}
}

// expire removes the claims whose keys are now rejected because of their age.
func (l *Ledger) expire(now time.Time) {
	for len(l.expiries) > 0 && now.Sub(l.expiries[0].claimedAt) > l.cfg.Window+2*l.cfg.ClockSkew {
		oldest := l.expiries[0]
		l.expiries = l.expiries[1:]
		if l.claims[oldest.key].Offset == oldest.offset {
			delete(l.claims, oldest.key)
		}
	}
}

// ActiveClaim returns the active claim on a key, if any.
func (l *Ledger) ActiveClaim(k Key) (Claim, bool) {
	c, ok := l.claims[k]
	return c, ok
}

// KeyAgeError reports a key that can't be protected because of its age.
type KeyAgeError struct {
	IssuedAt time.Time
	Problem  string
}

// Error implements error.
func (e *KeyAgeError) Error() string {
	return fmt.Sprintf("idempotency key issued at %s: %s", e.IssuedAt.Format(time.RFC3339), e.Problem)
}

// CheckAge returns a *KeyAgeError for a key that is older than the window, that was
// issued in the future, or whose earlier claims retention may have removed.
func (l *Ledger) CheckAge(now, issuedAt time.Time) error {
	switch {
	case now.Sub(issuedAt) > l.cfg.Window:
		return &KeyAgeError{IssuedAt: issuedAt, Problem: fmt.Sprintf("older than the claim window of %s", l.cfg.Window)}
	case issuedAt.Sub(now) > l.cfg.ClockSkew:
		return &KeyAgeError{IssuedAt: issuedAt, Problem: "is in the future"}
	case !l.hasFullHistory && issuedAt.Add(-l.cfg.ClockSkew).Before(l.historySince):
		return &KeyAgeError{IssuedAt: issuedAt, Problem: "claims of that time are no longer in the log"}
	}
	return nil
}
