package quarantiner

import (
	"slices"
	"time"
)

// Crash records that an endpoint crashed while it ran a request.
type Crash struct {
	// Fingerprint is a hash that is the same for equal requests.
	Fingerprint uint64
	// EndpointHash is a hash of the endpoint's name. Reports of the same endpoint
	// within a short time count as one crash, whichever entry sends them.
	EndpointHash uint64
	At           time.Time
}

const (
	// crashesToConvict is the number of crashes under equal requests after which these
	// are rejected.
	crashesToConvict = 3
	// crashRetention is how long a crash counts; a request that crashes endpoints is
	// usually repeated within seconds.
	crashRetention = 60 * time.Second
	// crashDedupWindow is the time within which a second crash report of an endpoint
	// is a duplicate: an endpoint that is down can't crash again.
	crashDedupWindow = time.Second
	// shareWindow is how long a crash is sent to other entries, and maxSharedCrashes
	// the maximum number sent at once.
	shareWindow      = 5 * time.Second
	maxSharedCrashes = 16
)

// CrashLedger counts crashes per request. It needs no shared log, because entries send
// each other their recent crashes. It is not safe for concurrent use.
type CrashLedger struct {
	crashes []Crash
	// probes is the number of probes in progress per fingerprint.
	probes map[uint64]int
}

// NewCrashLedger returns an empty ledger.
func NewCrashLedger() *CrashLedger { return &CrashLedger{probes: map[uint64]int{}} }

// Add records a crash that was observed here or received from another entry.
func (l *CrashLedger) Add(c Crash) {
	for _, old := range l.crashes {
		if old.Fingerprint == c.Fingerprint && old.EndpointHash == c.EndpointHash && c.At.Sub(old.At).Abs() < crashDedupWindow {
			return
		}
	}
	l.crashes = slices.DeleteFunc(l.crashes, func(old Crash) bool { return c.At.Sub(old.At) > crashRetention })
	l.crashes = append(l.crashes, c)
}

// StartProbe records that an endpoint is being probed for a crash under a request.
func (l *CrashLedger) StartProbe(fingerprint uint64) { l.probes[fingerprint]++ }

// EndProbe records that a probe has ended. If it found a crash, the crash has to be
// added before.
func (l *CrashLedger) EndProbe(fingerprint uint64) {
	if l.probes[fingerprint]--; l.probes[fingerprint] <= 0 {
		delete(l.probes, fingerprint)
	}
}

// IsConvicted reports whether enough endpoints crashed under equal requests to reject
// further ones.
func (l *CrashLedger) IsConvicted(now time.Time, fingerprint uint64) bool {
	return l.crashCount(now, fingerprint) >= crashesToConvict
}

// IsUndecided reports whether a request is convicted if the probes in progress find
// crashes.
func (l *CrashLedger) IsUndecided(now time.Time, fingerprint uint64) bool {
	n := l.crashCount(now, fingerprint)
	return n < crashesToConvict && n+l.probes[fingerprint] >= crashesToConvict
}

// crashCount returns the number of crashes that count against a request.
func (l *CrashLedger) crashCount(now time.Time, fingerprint uint64) (n int) {
	for _, c := range l.crashes {
		if c.Fingerprint == fingerprint && now.Sub(c.At) < crashRetention {
			n++
		}
	}
	return n
}

// Recent returns the latest crashes, newest first, to send to other entries.
func (l *CrashLedger) Recent(now time.Time) (recent []Crash) {
	for i := len(l.crashes) - 1; i >= 0 && len(recent) < maxSharedCrashes; i-- {
		if now.Sub(l.crashes[i].At) < shareWindow {
			recent = append(recent, l.crashes[i])
		}
	}
	return recent
}
