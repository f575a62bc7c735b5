// Package quarantiner finds requests that crash the endpoints which run them. It
// is a pure fold of the deaths stream of the platform's log: what was in progress
// at a death is suspect and runs alone from then on; what dies alone again is
// convicted; what ends well alone is cleared.
package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"flamingoledge.org/flamingoledge/pkg/provider"
)

// Fingerprint identifies equal requests.
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

// Kind says what an entry of the deaths stream tells.
type Kind string

// Kinds of entries.
const (
	// KindDeath tells that an endpoint died, and what was in progress there.
	KindDeath Kind = "death"
	// KindCleared tells that a suspect ended well while it ran alone.
	KindCleared Kind = "cleared"
)

// Entry is one record of the deaths stream.
type Entry struct {
	Kind     Kind   `json:"kind"`
	Endpoint string `json:"endpoint"`
	// Epoch is the endpoint's epoch that ended, so that copies count once.
	Epoch        uint64        `json:"epoch,omitempty"`
	Fingerprints []Fingerprint `json:"fingerprints"`
}

// Encode returns the entry as a record.
func (e Entry) Encode() (json.RawMessage, error) { return json.Marshal(e) }

// Standing is what is held against a request.
type Standing int

// Standings.
const (
	// StandingClear means that nothing is held against the request.
	StandingClear Standing = iota
	// StandingSuspect means that the request must run alone.
	StandingSuspect
	// StandingConvicted means that the request must not run.
	StandingConvicted
)

const (
	// convictAlone is how many deaths alone convict. A first death, in company,
	// only makes suspects, and one unlucky death alone does not convict.
	convictAlone = 2
	// convictDeaths is how many deaths convict if one of them was alone. It
	// bounds what copies that are sent at the same time can cost.
	convictDeaths = 3
)

// suspicion is what is known of one fingerprint.
type suspicion struct {
	deaths int
	alone  int
	offset uint64
	at     time.Time
}

func (s suspicion) isConviction() bool {
	return s.alone >= convictAlone || (s.alone > 0 && s.deaths >= convictDeaths)
}

type deathKey struct {
	endpoint string
	epoch    uint64
}

// Config configures a Ledger.
type Config struct {
	// Keep is how long a suspicion or conviction lasts after its last death.
	Keep time.Duration
}

// Ledger holds what is held against requests. It has one owner.
type Ledger struct {
	cfg    Config
	next   uint64
	held   map[Fingerprint]suspicion
	deaths map[deathKey]struct{}
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, next: 1, held: map[Fingerprint]suspicion{}, deaths: map[deathKey]struct{}{}}
}

// Next returns the offset to be read next.
func (l *Ledger) Next() uint64 { return l.next }

// Len returns how many requests are suspect or convicted.
func (l *Ledger) Len() int { return len(l.held) }

// Apply folds a page of the deaths stream. A gap loses old suspicions only.
func (l *Ledger) Apply(now time.Time, page provider.Page) {
	l.next = page.ForEachFrom(l.next, func(r provider.Record) {
		var e Entry
		if json.Unmarshal(r.Data, &e) == nil {
			l.fold(r, e)
		}
	})
	l.expire(now)
}

func (l *Ledger) fold(r provider.Record, e Entry) {
	switch e.Kind {
	case KindCleared:
		for _, f := range e.Fingerprints {
			if !l.held[f].isConviction() {
				delete(l.held, f)
			}
		}
	case KindDeath:
		key := deathKey{endpoint: e.Endpoint, epoch: e.Epoch}
		if _, ok := l.deaths[key]; ok {
			return
		}
		l.deaths[key] = struct{}{}
		for _, f := range e.Fingerprints {
			s := l.held[f]
			s.deaths++
			if len(e.Fingerprints) == 1 {
				s.alone++
			}
			s.offset = r.Offset
			s.at = r.AppendedAt
			l.held[f] = s
		}
	}
}

// expire forgets what is old. The endpoints' deaths are few, and their keys are
// dropped with the last suspicion.
func (l *Ledger) expire(now time.Time) {
	for f, s := range l.held {
		if now.Sub(s.at) > l.cfg.Keep {
			delete(l.held, f)
		}
	}
	if len(l.held) == 0 {
		clear(l.deaths)
	}
}

// Standing returns what is held against a request, and the offset of the death
// that decided it.
func (l *Ledger) Standing(f Fingerprint) (Standing, uint64) {
	s, ok := l.held[f]
	switch {
	case !ok:
		return StandingClear, 0
	case s.isConviction():
		return StandingConvicted, s.offset
	default:
		return StandingSuspect, s.offset
	}
}
