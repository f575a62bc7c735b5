package quarantiner

import (
	"slices"
	"time"
)

// crashSuspicion is what the crashes say about a key.
type crashSuspicion struct {
	// crashes is the number of crashes that no other key explains.
	crashes         int
	convicted       bool
	firstAt, lastAt time.Time
	// others is the number of crashes from otherCrashesMargin before firstAt to lastAt that
	// no part with enough crashes explains.
	others int
	// companions are other parts that are as likely to be the cause, as all these crashes
	// have them in common.
	companions []Key
}

// crashesToConvict returns how many crashes convict the key. While endpoints crash for other
// reasons, some crash under the same request or part of a prompt by chance.
func (s crashSuspicion) crashesToConvict() int {
	return min(crashesToConvict+s.others, maxCrashesToConvict)
}

// firstTrialAt returns when the first trial of a convicted key may start.
func (s crashSuspicion) firstTrialAt() time.Time {
	return s.lastAt.Add(trialDelay << min(s.crashes-s.crashesToConvict(), 8))
}

// assess derives the suspicions from the crashes. The key with most crashes is convicted
// first, and its crashes don't count against the others.
func (l *CrashLedger) assess() {
	l.digest.known = false
	l.suspicions = map[Key]crashSuspicion{}
	explained := map[*crashRecord]bool{}
	for {
		suspicions := l.countCrashes(explained)
		worst, ok := l.mostSuspicious(suspicions)
		if !ok {
			for k, s := range suspicions {
				if !l.suspicions[k].convicted {
					l.suspicions[k] = s
				}
			}
			break
		}
		s := suspicions[worst]
		s.convicted = true
		s.companions = l.companions(explained, worst)
		l.suspicions[worst] = s
		for _, r := range l.suspects.crashes[worst] {
			explained[r] = true
		}
	}
	l.findWorstSuspects()
	for k := range l.trials {
		if !l.suspicions[k].convicted {
			delete(l.trials, k)
		}
	}
}

// findWorstSuspects finds the most suspicious key of each crash.
func (l *CrashLedger) findWorstSuspects() {
	for _, r := range l.crashes {
		r.worst, r.suspicion = 0, min(len(r.Suspects), 1)
	}
	for k, s := range l.suspicions {
		for _, r := range l.suspects.crashes[k] {
			if r.worst == 0 || isMoreSuspicious(k, s.crashes, r.worst, r.suspicion) {
				r.worst, r.suspicion = k, max(s.crashes, 1)
			}
		}
	}
}

// companions returns the parts that are suspect in all unexplained crashes in which k is,
// without those that ran soundly, unless k did as well.
func (l *CrashLedger) companions(explained map[*crashRecord]bool, k Key) (common []Key) {
	isFirst := true
	for _, r := range l.suspects.crashes[k] {
		switch {
		case explained[r]:
		case isFirst:
			common, isFirst = slices.Clone(r.Suspects), false
		default:
			common = slices.DeleteFunc(common, func(other Key) bool { return !slices.Contains(r.Suspects, other) })
		}
	}
	return slices.DeleteFunc(common, func(other Key) bool {
		return other == k || !other.isPart() || l.ranSoundly(other) && !l.ranSoundly(k)
	})
}

func (l *CrashLedger) ranSoundly(k Key) bool {
	_, ok := l.soundRuns.last(k)
	return ok
}

// countCrashes counts the unexplained crashes of each suspect with several, and those of others
// meanwhile.
func (l *CrashLedger) countCrashes(explained map[*crashRecord]bool) map[Key]crashSuspicion {
	suspicions := map[Key]crashSuspicion{}
	related := map[*crashRecord]bool{}
	for k := range l.suspects.repeated {
		s := countCrashesOf(k, l.suspects.crashes[k], explained)
		suspicions[k] = s
		if k.isPart() && s.crashes >= crashesToConvict {
			for _, r := range l.suspects.crashes[k] {
				related[r] = true
			}
		}
	}
	unrelated := slices.DeleteFunc(slices.Clone(l.crashes), func(r *crashRecord) bool { return related[r] || explained[r] })
	for k, s := range suspicions {
		if s.crashes >= crashesToConvict {
			s.others = countOthers(unrelated, k, s.firstAt.Add(-otherCrashesMargin), s.lastAt)
			suspicions[k] = s
		}
	}
	return suspicions
}

// countCrashesOf counts the unexplained crashes of a key.
func countCrashesOf(k Key, crashes []*crashRecord, explained map[*crashRecord]bool) (s crashSuspicion) {
	slices.SortFunc(crashes, func(a, b *crashRecord) int { return a.At.Compare(b.At) })
	for _, r := range crashes {
		if explained[r] {
			continue
		}
		if s.crashes == 0 {
			s.firstAt = r.At
		}
		if s.crashes == 0 || !k.isPart() || r.At.Sub(s.lastAt) >= simultaneousWindow {
			s.crashes, s.lastAt = s.crashes+1, r.At
		}
	}
	return s
}

// countOthers counts the crashes between two times in which k is not suspect, simultaneous
// ones once.
func countOthers(crashes []*crashRecord, k Key, from, to time.Time) (n int) {
	var lastAt time.Time
	for _, c := range crashes {
		if c.At.After(from) && c.At.Before(to) && c.At.Sub(lastAt) >= simultaneousWindow && !slices.Contains(c.Suspects, k) {
			n, lastAt = n+1, c.At
		}
	}
	return n
}

// mostSuspicious returns the key with most crashes of those with enough to convict. Of
// several, it prefers a part of a prompt, without which the whole request would not run
// either, and one that is not known to have run soundly at any time.
func (l *CrashLedger) mostSuspicious(suspicions map[Key]crashSuspicion) (worst Key, ok bool) {
	for k, s := range suspicions {
		if s.crashes < s.crashesToConvict() {
			continue
		}
		if !ok || l.convictsBefore(k, worst, suspicions) {
			worst, ok = k, true
		}
	}
	return worst, ok
}

// convictsBefore reports whether key a is to be convicted before key b.
func (l *CrashLedger) convictsBefore(a, b Key, suspicions map[Key]crashSuspicion) bool {
	crashesOfA, crashesOfB := suspicions[a].crashes, suspicions[b].crashes
	if crashesOfA == crashesOfB && a.isPart() && b.isPart() && l.ranSoundly(a) != l.ranSoundly(b) {
		return l.ranSoundly(b)
	}
	return isMoreSuspicious(a, crashesOfA, b, crashesOfB)
}

// isMoreSuspicious reports whether key a with the given number of crashes is more suspicious
// than key b. It is the same at all entries with the same crashes.
func isMoreSuspicious(a Key, crashesOfA int, b Key, crashesOfB int) bool {
	switch {
	case crashesOfA != crashesOfB:
		return crashesOfA > crashesOfB
	case a.isPart() != b.isPart():
		return a.isPart()
	default:
		return a < b
	}
}
