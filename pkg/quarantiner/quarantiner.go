// Package quarantiner identifies requests that crash the endpoints running them.
//
// The state of a Ledger is derived only from the deaths stream of the platform's log.
// Requests that were in progress when an endpoint died become suspects, which run
// alone from then on. A suspect that ends normally while running alone is cleared. A
// suspect under which endpoints die again while it runs alone is convicted and no
// longer run.
//
// A CrashLedger does not use the log. It convicts a request, or a part of a prompt that
// requests share, after a number of crashes and does not run suspects alone.
package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"flamingoledge.org/flamingoledge/pkg/provider"
)

// Fingerprint is a hash that is the same for equal requests.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(workspace, service string, body []byte) Fingerprint {
	h := sha256.New()
	_, _ = h.Write([]byte(workspace))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	// KindDeath records the death of an endpoint and the requests in progress there.
	KindDeath Kind = "death"
	// KindCleared records that a suspect ended normally while running alone.
	KindCleared Kind = "cleared"
)

// Event is one record of the deaths stream.
type Event struct {
	Kind     Kind   `json:"kind"`
	Endpoint string `json:"endpoint"`
	// Epoch is the epoch of the endpoint that ended. Duplicate reports of a death have
	// the same epoch and count once.
	Epoch        uint64        `json:"epoch,omitempty"`
	Fingerprints []Fingerprint `json:"fingerprints"`
}

// Encode returns the event as the data of a log record.
func (e Event) Encode() (json.RawMessage, error) { return json.Marshal(e) }

// Standing is the quarantine status of a request.
type Standing int

// Standings.
const (
	// StandingClear means that the request may run without restriction.
	StandingClear Standing = iota
	// StandingSuspect means that the request must run alone.
	StandingSuspect
	// StandingConvicted means that the request must not run.
	StandingConvicted
)

const (
	// aloneDeathsToConvict is the number of endpoint deaths under a request running
	// alone that convict it. It is above 1 because an endpoint may die alone with a
	// request by coincidence. A first death with other requests in progress only makes
	// suspects.
	aloneDeathsToConvict = 2
	// deathsToConvict is the number of endpoint deaths that convict a request if it
	// ran alone in at least one of them. It limits the number of endpoints lost to
	// copies of a request that are sent at the same time.
	deathsToConvict = 3
)

// suspicion counts the endpoint deaths under equal requests.
type suspicion struct {
	deaths          int
	aloneDeaths     int
	lastDeathOffset uint64
	lastDeathAt     time.Time
}

// isConvicted reports whether the deaths suffice for a conviction.
func (s suspicion) isConvicted() bool {
	return s.aloneDeaths >= aloneDeathsToConvict || (s.aloneDeaths > 0 && s.deaths >= deathsToConvict)
}

// deathKey identifies the death of an endpoint.
type deathKey struct {
	endpoint string
	epoch    uint64
}

// Config configures a Ledger.
type Config struct {
	// Retention is how long a suspicion or conviction lasts after the last death.
	Retention time.Duration
}

// Ledger holds the suspected and convicted requests. It is not safe for concurrent
// use.
type Ledger struct {
	cfg        Config
	next       uint64
	suspicions map[Fingerprint]suspicion
	deaths     map[deathKey]struct{}
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, next: 1, suspicions: map[Fingerprint]suspicion{}, deaths: map[deathKey]struct{}{}}
}

// NextOffset returns the offset of the deaths stream to read next.
func (l *Ledger) NextOffset() uint64 { return l.next }

// Len returns the number of suspected and convicted requests.
func (l *Ledger) Len() int { return len(l.suspicions) }

// Apply applies a page of the deaths stream. If records are missing because they are no
// longer retained, only old suspicions are lost.
func (l *Ledger) Apply(now time.Time, page provider.Page) {
	l.next = page.ForEachFrom(l.next, func(r provider.Record) {
		var e Event
		if json.Unmarshal(r.Data, &e) == nil {
			l.applyEvent(r, e)
		}
	})
	l.expire(now)
}

// applyEvent applies one event of the deaths stream.
func (l *Ledger) applyEvent(r provider.Record, e Event) {
	switch e.Kind {
	case KindCleared:
		for _, f := range e.Fingerprints {
			if !l.suspicions[f].isConvicted() {
				delete(l.suspicions, f)
			}
		}
	case KindDeath:
		key := deathKey{endpoint: e.Endpoint, epoch: e.Epoch}
		if _, ok := l.deaths[key]; ok {
			return
		}
		l.deaths[key] = struct{}{}
		for _, f := range e.Fingerprints {
			s := l.suspicions[f]
			s.deaths++
			if len(e.Fingerprints) == 1 {
				s.aloneDeaths++
			}
			s.lastDeathOffset = r.Offset
			s.lastDeathAt = r.AppendedAt
			l.suspicions[f] = s
		}
	}
}

// expire removes suspicions after Config.Retention. Death keys are few and are removed
// together with the last suspicion.
func (l *Ledger) expire(now time.Time) {
	for f, s := range l.suspicions {
		if now.Sub(s.lastDeathAt) > l.cfg.Retention {
			delete(l.suspicions, f)
		}
	}
	if len(l.suspicions) == 0 {
		clear(l.deaths)
	}
}

// Standing returns the quarantine status of a request and the offset of the last death
// recorded for it.
func (l *Ledger) Standing(f Fingerprint) (Standing, uint64) {
	s, ok := l.suspicions[f]
	switch {
	case !ok:
		return StandingClear, 0
	case s.isConvicted():
		return StandingConvicted, s.lastDeathOffset
	default:
		return StandingSuspect, s.lastDeathOffset
	}
}
