package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Key identifies what may crash endpoints: a whole request or a part of a prompt. It is
// a hash, which is the same at all entries. Its lowest bit tells the kind.
type Key uint64

// RequestKey returns the key of a whole request with the given hash.
func RequestKey(hash uint64) Key { return Key(hash &^ 1) }

// PartKey returns the key of a part of a prompt with the given hash.
func PartKey(hash uint64) Key { return Key(hash | 1) }

// isPart reports whether the key is that of a part of a prompt.
func (k Key) isPart() bool { return k&1 == 1 }

// Crash is the crash of an endpoint.
type Crash struct {
	// ID is random; 0 is none. Each entry that observes the crash gives it one, so that its
	// reports are known as such however late they are read.
	ID uint64
	// EndpointHash is a hash of the endpoint's name. Reports of the same endpoint
	// within a short time describe one crash, whichever entries send them.
	EndpointHash uint64
	At           time.Time
	// Suspects are the keys of the requests that may have caused the crash.
	Suspects []Key
	// Cleared are keys that did not cause it, since a request with them ran soundly.
	Cleared []Key
}

// isClearedBy reports whether a sound run clears the suspects that it has in common with
// the crash.
func (c Crash) isClearedBy(soundAt time.Time) bool { return soundAt.After(c.At.Add(-soundRunMargin)) }

// SoundRun records that an endpoint ran a request with a key without crashing.
type SoundRun struct {
	Key Key
	At  time.Time
}

// Verdict is the decision about a request.
type Verdict struct {
	// Convicted is set if the request must not run, because of Key.
	Convicted bool
	Key       Key
	// RetryAfter is about the time until the conviction may end.
	RetryAfter time.Duration
	// Trial is set if the request may run although it is convicted: its result decides
	// whether the conviction lasts.
	Trial bool
}

const (
	// crashesToConvict is the number of crashes after which a key is convicted. Two may
	// coincide.
	crashesToConvict = 3
	// maxCrashesToConvict is the number of crashes after which a key is convicted however
	// many others there were meanwhile, as users count what happens after the fifth.
	maxCrashesToConvict = 5
	// otherCrashesMargin is how long before the first crash of a key crashes under others
	// still raise the number that convicts it. What requests wait for and are cut off from
	// while endpoints crash for other reasons coincides in several crashes in a row.
	otherCrashesMargin = 3 * time.Second
	// crashRetention is how long a crash counts, and so how long a conviction lasts.
	crashRetention = 10 * time.Minute
	// crashDedupWindow is the time within which a second crash report of an endpoint
	// is a duplicate: an endpoint that is down can't crash again. An entry that was
	// suspended notices a crash late.
	crashDedupWindow = 3 * time.Second
	// soundRunMargin is how long before a crash a sound run still clears a suspect. What
	// crashes endpoints rarely does so for the first time right after it ran soundly,
	// while a part that most prompts share is suspect at each crash.
	soundRunMargin = time.Second
	// simultaneousWindow is the time within which crashes of several endpoints count
	// once against a part of a prompt, since they are likely to have a common cause
	// outside the requests, such as the loss of a rack. Equal requests are rarely at
	// several endpoints at once, but are repeated within milliseconds.
	simultaneousWindow = 50 * time.Millisecond
	// These bound the memory of a ledger. The requests at an endpoint may have some hundred
	// parts.
	maxCrashes         = 128
	maxSuspects        = 8192
	maxClearedPerCrash = 512
	maxClearances      = 128
	maxIDsPerCrash     = 16
	// trialDelay is the time from the last crash until the first trial. It doubles with
	// each crash beyond those that convict.
	trialDelay = 30 * time.Second
	// trialTurn is how long the turn of an entry to start a trial lasts. It covers the time
	// until the result of a trial is known to all of them.
	trialTurn = 10 * time.Second
	// clearanceSharing is how long it is shared that a suspect was cleared. Entries that
	// still name the suspect afterwards get it again.
	clearanceSharing = 10 * time.Second
	// singleCrashSharing is how long a crash is shared whose suspects have no other. All
	// entries that run have it by then, and entries with many such crashes could not agree
	// on those that fit into a datagram.
	singleCrashSharing = 15 * time.Second
	// maxSharedSuspects and maxSharedCrashes bound the evidence that is shared at once, so
	// that it fits into a datagram.
	maxSharedSuspects = 80
	maxSharedCrashes  = 16
	// latestSharedCrashes is how many of them are the latest ones beside the most suspicious.
	latestSharedCrashes = 4
)

// CrashLedger finds the requests and the parts of prompts that crash endpoints. It needs
// no shared log, because entries send each other their evidence. Entries with the same
// evidence decide alike.
//
// A key is suspect after a crash until a request with it runs soundly, unless one did
// right before. Suspects are convicted after a number of crashes. A crash has one cause, so
// those with a convicted key don't count against other keys.
//
// A CrashLedger is not safe for concurrent use.
type CrashLedger struct {
	// crashes is sorted by time.
	crashes   []*crashRecord
	soundRuns soundRuns
	// clearances are shared with other entries, latest last.
	clearances []clearance
	// changes were not sent to other entries yet.
	changes  []change
	suspects suspectIndex
	// suspicions has an entry for each suspect of several crashes.
	suspicions map[Key]crashSuspicion
	// probes counts the probes in progress by key.
	probes map[Key]int
	// trials holds the start of the last trial by convicted key.
	trials map[Key]time.Time
	digest cachedDigest
}

// NewCrashLedger returns an empty ledger.
func NewCrashLedger() *CrashLedger {
	return &CrashLedger{suspects: newSuspectIndex(), probes: map[Key]int{}, trials: map[Key]time.Time{}}
}

// AddCrash records a crash that was observed here. It reports whether the crash is new, or a
// key became suspect or was cleared.
func (l *CrashLedger) AddCrash(now time.Time, c Crash) (changed bool) {
	return l.addCrash(now, c, true)
}

func (l *CrashLedger) addCrash(now time.Time, c Crash, observed bool) (changed bool) {
	l.expire(now)
	if now.Sub(c.At) >= crashRetention {
		return false
	}
	r := l.find(c)
	if r == nil {
		r = &crashRecord{Crash: Crash{EndpointHash: c.EndpointHash, At: c.At}}
		l.crashes = append(l.crashes, r)
		l.sortCrashes()
		changed = true
	}
	r.addID(c.ID)
	r.observed = r.observed || observed
	changed = l.addKeys(now, r, c) || changed
	if r.At.Sub(c.At) >= simultaneousWindow {
		l.correctTime(now, r, c.At)
		changed = true
	}
	if changed {
		l.assess()
		l.limitMemory()
	}
	return changed
}

// addKeys adds the suspects and the cleared keys of a report to the record of the crash. It
// reports whether a key became suspect or was cleared.
func (l *CrashLedger) addKeys(now time.Time, r *crashRecord, c Crash) (changed bool) {
	for _, k := range c.Cleared {
		if !slices.Contains(r.Cleared, k) {
			changed = l.clear(now, r, k) || changed
		}
	}
	for _, k := range c.Suspects {
		changed = l.addSuspect(now, r, k) || changed
	}
	return changed
}

// find returns the record of a crash, nil if there is none.
func (l *CrashLedger) find(c Crash) *crashRecord {
	for _, r := range l.crashes {
		if c.ID != 0 && slices.Contains(r.ids, c.ID) {
			return r
		}
	}
	for _, r := range l.crashes {
		if r.isSameEndpointAt(c.EndpointHash, c.At) {
			return r
		}
	}
	return nil
}

// correctTime sets the time of a crash to an earlier one. Reports that are read late make it
// look later than it was, and may have made it look like two.
func (l *CrashLedger) correctTime(now time.Time, r *crashRecord, at time.Time) {
	r.At = at
	l.crashes = slices.DeleteFunc(l.crashes, func(other *crashRecord) bool {
		if other == r || !other.isSameEndpointAt(r.EndpointHash, at) {
			return false
		}
		for _, id := range other.ids {
			r.addID(id)
		}
		if other.At.Before(r.At) {
			r.At = other.At
		}
		l.addKeys(now, r, other.Crash)
		l.forget(other)
		return true
	})
	l.sortCrashes()
}

func (l *CrashLedger) sortCrashes() {
	slices.SortStableFunc(l.crashes, func(a, b *crashRecord) int { return a.At.Compare(b.At) })
}

// addSuspect adds a suspect to a crash unless it is cleared. It reports whether the suspect
// is new.
func (l *CrashLedger) addSuspect(now time.Time, r *crashRecord, k Key) bool {
	if soundAt, ok := l.soundRuns.last(k); slices.Contains(r.Cleared, k) || ok && r.isClearedBy(soundAt) {
		l.clear(now, r, k)
		return false
	}
	if slices.Contains(r.Suspects, k) {
		return false
	}
	r.Suspects = append(r.Suspects, k)
	l.suspects.add(k, r)
	l.recordChange(r, k)
	return true
}

// clear records that a crash does not count against a key. It reports whether the key was
// suspect.
func (l *CrashLedger) clear(now time.Time, r *crashRecord, k Key) (wasSuspect bool) {
	if i := slices.Index(r.Suspects, k); i >= 0 {
		r.Suspects = slices.Delete(r.Suspects, i, i+1)
		l.suspects.remove(k, r)
		l.recordChange(r, k)
		wasSuspect = true
	}
	if !slices.Contains(r.Cleared, k) {
		r.Cleared = append(r.Cleared, k)
		r.Cleared = r.Cleared[max(0, len(r.Cleared)-maxClearedPerCrash):]
	}
	l.clearances = slices.DeleteFunc(l.clearances, func(c clearance) bool { return c.crash == r && c.key == k })
	l.clearances = append(l.clearances, clearance{crash: r, key: k, at: now})
	l.clearances = l.clearances[max(0, len(l.clearances)-maxClearances):]
	return wasSuspect
}

// limitMemory forgets crashes and suspects if there are too many: the least suspicious first,
// and of several the oldest.
func (l *CrashLedger) limitMemory() {
	isSingle := func(k Key) bool { return len(l.suspects.crashes[k]) == 1 }
	forgotten := false
	for i := 0; i < len(l.crashes) && l.suspects.size > maxSuspects; i++ {
		l.forgetSuspects(l.crashes[i], isSingle)
		forgotten = true
	}
	for len(l.crashes) > maxCrashes || l.suspects.size > maxSuspects {
		least := slices.MinFunc(l.crashes, func(a, b *crashRecord) int { return cmp.Compare(a.suspicion, b.suspicion) })
		l.forget(least)
		l.crashes = slices.DeleteFunc(l.crashes, func(r *crashRecord) bool { return r == least })
		forgotten = true
	}
	if forgotten {
		l.assess()
	}
}

// forget removes all that the ledger knows about a crash beside its place in crashes.
func (l *CrashLedger) forget(r *crashRecord) {
	l.forgetSuspects(r, func(Key) bool { return true })
	l.clearances = slices.DeleteFunc(l.clearances, func(c clearance) bool { return c.crash == r })
	l.changes = slices.DeleteFunc(l.changes, func(c change) bool { return c.crash == r })
}

// forgetSuspects removes the given suspects from a crash.
func (l *CrashLedger) forgetSuspects(r *crashRecord, isForgotten func(Key) bool) {
	r.Suspects = slices.DeleteFunc(r.Suspects, func(k Key) bool {
		if !isForgotten(k) {
			return false
		}
		l.suspects.remove(k, r)
		return true
	})
}

// AddSoundRun records that a request ran soundly here. It reports whether that cleared a
// suspect. Evidence has the crashes that no longer count against the key, not the time of
// the run: an entry that was suspended would take the run for a later one.
func (l *CrashLedger) AddSoundRun(s SoundRun) bool {
	l.soundRuns.add(s)
	cleared := false
	for _, r := range slices.Clone(l.suspects.crashes[s.Key]) {
		if r.isClearedBy(s.At) {
			cleared = l.clear(s.At, r, s.Key)
		}
	}
	if cleared {
		l.assess()
	}
	return cleared
}

// Merge adds the evidence of another entry. It reports whether any of it is new.
func (l *CrashLedger) Merge(now time.Time, e Evidence) (changed bool) {
	for _, c := range e.Crashes {
		changed = l.addCrash(now, c, false) || changed
	}
	return changed
}

// Rank is the place of an entry among all of them, from 0.
type Rank struct{ Place, Of int }

// Judge decides whether a request with the given keys may run. One that has only some of the
// keys that all crashes have in common may: its result tells which of them is the cause. rank
// returns the rank of this entry for the trials of a key.
func (l *CrashLedger) Judge(now time.Time, keys []Key, rank func(Key) Rank) (v Verdict) {
	l.expire(now)
	for _, k := range keys {
		s := l.suspicions[k]
		if !s.convicted || !containsAll(keys, s.companions) {
			continue
		}
		// The result of a trial would not tell which of two keys is the cause.
		isOnly := !v.Convicted
		v.Convicted, v.Key = true, k
		v.Trial = isOnly && l.mayStartTrial(now, k, s, rank)
		v.RetryAfter = max(v.RetryAfter, s.firstTrialAt().Sub(now), trialTurn)
	}
	return v
}

func containsAll(keys, wanted []Key) bool {
	return !slices.ContainsFunc(wanted, func(k Key) bool { return !slices.Contains(keys, k) })
}

// StartTrial records that a request with a convicted key starts. No other one may start
// here until its result can be known.
func (l *CrashLedger) StartTrial(now time.Time, k Key) { l.trials[k] = now }

// mayStartTrial reports whether it is this entry's turn to start a trial of a convicted key.
// Entries take turns, so that no two trials run at a time.
func (l *CrashLedger) mayStartTrial(now time.Time, k Key, s crashSuspicion, rank func(Key) Rank) bool {
	elapsed := now.Sub(s.firstTrialAt())
	if started, ok := l.trials[k]; elapsed < 0 || ok && now.Sub(started) < trialTurn {
		return false
	}
	// A trial that starts late in a turn would have no result before the next one.
	r := rank(k)
	return elapsed%trialTurn < trialTurn/2 && int(elapsed/trialTurn)%max(r.Of, 1) == r.Place
}

// MayRepeat reports whether a request that may have crashed an endpoint may run at
// another one. It may not if one more crash may convict it.
func (l *CrashLedger) MayRepeat(now time.Time, keys []Key) bool {
	l.expire(now)
	return !slices.ContainsFunc(keys, func(k Key) bool { return l.suspicions[k].crashes >= crashesToConvict-1 })
}

// StartProbe records that an endpoint is being probed for a crash under a request.
func (l *CrashLedger) StartProbe(keys []Key) {
	for _, k := range keys {
		l.probes[k]++
	}
}

// EndProbe records that a probe has ended. If it found a crash, the crash has to be
// added before.
func (l *CrashLedger) EndProbe(keys []Key) {
	for _, k := range keys {
		if l.probes[k]--; l.probes[k] <= 0 {
			delete(l.probes, k)
		}
	}
}

// IsUndecided reports whether a request may be convicted if the probes in progress
// find a crash.
func (l *CrashLedger) IsUndecided(now time.Time, keys []Key) bool {
	l.expire(now)
	return slices.ContainsFunc(keys, func(k Key) bool {
		s := l.suspicions[k]
		return !s.convicted && s.crashes >= crashesToConvict-1 && l.probes[k] > 0
	})
}

// Convicted returns the convicted keys in ascending order.
func (l *CrashLedger) Convicted() (keys []Key) {
	for k, s := range l.suspicions {
		if s.convicted {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// expire forgets what no longer counts.
func (l *CrashLedger) expire(now time.Time) {
	l.clearances = slices.DeleteFunc(l.clearances, func(c clearance) bool { return now.Sub(c.at) >= clearanceSharing })
	n := 0
	for n < len(l.crashes) && now.Sub(l.crashes[n].At) >= crashRetention {
		l.forget(l.crashes[n])
		n++
	}
	if n > 0 {
		l.crashes = slices.Delete(l.crashes, 0, n)
		l.assess()
	}
}
