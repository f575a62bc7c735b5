package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// maxChanges bounds the changes that were not sent yet: twice as many are kept until the least
// urgent ones are dropped.
const maxChanges = 1024

// change is a key of a crash that became suspect or was cleared.
type change struct {
	crash *crashRecord
	key   Key
}

// recordChange records a change to be sent to other entries.
func (l *CrashLedger) recordChange(r *crashRecord, k Key) {
	l.changes = append(l.changes, change{crash: r, key: k})
	if len(l.changes) > 2*maxChanges {
		l.sortChanges()
		clear(l.changes[maxChanges:])
		l.changes = l.changes[:maxChanges]
	}
}

// TakeChanges returns what has changed since the last call, most urgent first. What does not
// fit into a message of the given size is left for the next call, which more reports.
func (l *CrashLedger) TakeChanges(now time.Time, size int) (e Evidence, more bool) {
	l.expire(now)
	l.sortChanges()
	w := evidenceWriter{limit: min(size, maxEvidenceBytes)}
	taken := 0
	for _, c := range l.changes {
		isSuspect, isCleared := slices.Contains(c.crash.Suspects, c.key), slices.Contains(c.crash.Cleared, c.key)
		if (isSuspect || isCleared) && !w.add(c.crash, c.key, isCleared) {
			break
		}
		taken++
	}
	l.changes = slices.Delete(l.changes, 0, taken)
	return w.finish(), len(l.changes) > 0
}

// sortChanges sorts the changes, most urgent first: the most suspicious keys, then what only
// this entry may know, then the latest crashes.
func (l *CrashLedger) sortChanges() {
	slices.SortStableFunc(l.changes, func(a, b change) int {
		return cmp.Or(
			cmp.Compare(l.urgency(b.key), l.urgency(a.key)),
			compareBools(b.crash.observed, a.crash.observed),
			b.crash.At.Compare(a.crash.At),
		)
	})
}

// urgency returns the number of crashes of a key as far as it matters for a conviction.
func (l *CrashLedger) urgency(k Key) int { return min(len(l.suspects.crashes[k]), maxCrashesToConvict) }

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// evidenceWriter adds keys to evidence as long as it has no more than limit bytes.
type evidenceWriter struct {
	limit    int
	evidence Evidence
	// records are those of evidence.Crashes.
	records []*crashRecord
	size    int
}

// add adds a suspect or a cleared key of a crash. It reports whether that fits.
func (w *evidenceWriter) add(r *crashRecord, k Key, isCleared bool) bool {
	size := w.size + keyBytes
	i := slices.Index(w.records, r)
	if i < 0 {
		size += maxCrashBytes
	}
	if size > w.limit {
		return false
	}
	if w.size = size; i < 0 {
		i = len(w.records)
		w.records = append(w.records, r)
		w.evidence.Crashes = append(w.evidence.Crashes, r.report())
	}
	c := &w.evidence.Crashes[i]
	if isCleared {
		c.Cleared = append(c.Cleared, k)
	} else {
		c.Suspects = append(c.Suspects, k)
	}
	return true
}

// finish returns the evidence and counts the reports in it.
func (w *evidenceWriter) finish() Evidence {
	for _, r := range w.records {
		r.reportCount++
	}
	return w.evidence
}
