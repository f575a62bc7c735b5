package quarantiner

import (
	"slices"
	"time"
)

// Crash says that an endpoint broke down while it ran a request.
type Crash struct {
	// Fingerprint is a hash of what makes requests equal.
	Fingerprint uint64
	// Endpoint is a hash of the endpoint's name. The same endpoint counts once in
	// a short time, whoever tells of it.
	EndpointHash uint64
	At           time.Time
}

const (
	// crashesToConvict is how many endpoints may break down under equal requests.
	crashesToConvict = 3
	// keepCrashes is how long a crash counts; a crashing request comes again
	// within seconds.
	crashRetention = 60 * time.Second
	// sameCrash is the time within which an endpoint that is down can't break
	// down again.
	crashDedupWindow = time.Second
	// tellCrashes is how long a crash is handed on, and maxTold how many at once.
	shareWindow      = 5 * time.Second
	maxSharedCrashes = 16
)

// CrashLedger counts crashes by request without a shared log: entries tell each
// other of theirs. It has one owner at a time.
type CrashLedger struct {
	crashes []Crash
}

// NewCrashLedger returns an empty ledger.
func NewCrashLedger() *CrashLedger { return &CrashLedger{} }

// Add takes a crash that was seen or heard of.
func (l *CrashLedger) Add(c Crash) {
	for _, old := range l.crashes {
		if old.Fingerprint == c.Fingerprint && old.EndpointHash == c.EndpointHash && c.At.Sub(old.At).Abs() < crashDedupWindow {
			return
		}
	}
	l.crashes = slices.DeleteFunc(l.crashes, func(old Crash) bool { return c.At.Sub(old.At) > crashRetention })
	l.crashes = append(l.crashes, c)
}

// IsConvicted tells whether enough endpoints broke down under equal requests.
func (l *CrashLedger) IsConvicted(now time.Time, fingerprint uint64) bool {
	n := 0
	for _, c := range l.crashes {
		if c.Fingerprint == fingerprint && now.Sub(c.At) < crashRetention {
			n++
		}
	}
	return n >= crashesToConvict
}

// Recent returns the newest crashes to tell others of.
func (l *CrashLedger) Recent(now time.Time) (recent []Crash) {
	for i := len(l.crashes) - 1; i >= 0 && len(recent) < maxSharedCrashes; i-- {
		if now.Sub(l.crashes[i].At) < shareWindow {
			recent = append(recent, l.crashes[i])
		}
	}
	return recent
}
