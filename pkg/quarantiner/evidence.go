package quarantiner

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Evidence is what entries tell each other about crashes.
type Evidence struct {
	Crashes []Crash
}

// Evidence returns what other entries need to decide alike, as far as it fits into a message
// of the given size: the crashes with suspects, most suspicious first, and the keys that were
// cleared last.
func (l *CrashLedger) Evidence(now time.Time, size int) Evidence {
	w := l.writeEvidence(now, size)
	return w.finish()
}

func (l *CrashLedger) writeEvidence(now time.Time, size int) evidenceWriter {
	l.expire(now)
	shared := l.crashesToShare(now)
	w := evidenceWriter{limit: min(size, maxEvidenceBytes)}
	for _, r := range shared {
		suspects := slices.SortedFunc(slices.Values(r.Suspects), func(a, b Key) int {
			return cmp.Or(cmp.Compare(len(l.suspects.crashes[b]), len(l.suspects.crashes[a])), cmp.Compare(a, b))
		})
		for _, k := range suspects[:min(len(suspects), maxSharedSuspects/len(shared))] {
			w.add(r, k, false)
		}
	}
	for _, c := range slices.Backward(l.clearances) {
		if !w.add(c.crash, c.key, true) {
			break
		}
	}
	return w
}

// crashesToShare returns the crashes with suspects that are recent or not the only ones of
// their suspects, most suspicious first. Those of a key beyond what convicts it come last, so
// that they leave room for other causes, and some room is left for the latest ones.
func (l *CrashLedger) crashesToShare(now time.Time) []*crashRecord {
	crashes := slices.DeleteFunc(slices.Clone(l.crashes), func(c *crashRecord) bool {
		return c.suspicion == 0 || c.suspicion < 2 && now.Sub(c.At) >= singleCrashSharing
	})
	slices.SortStableFunc(crashes, func(a, b *crashRecord) int {
		return cmp.Or(cmp.Compare(b.suspicion, a.suspicion), b.At.Compare(a.At))
	})
	shared := map[Key]int{}
	var dispensable []*crashRecord
	crashes = slices.DeleteFunc(crashes, func(c *crashRecord) bool {
		if shared[c.worst]++; c.worst == 0 || shared[c.worst] <= maxCrashesToConvict {
			return false
		}
		dispensable = append(dispensable, c)
		return true
	})
	if room := maxSharedCrashes - latestSharedCrashes; len(crashes) > room {
		slices.SortStableFunc(crashes[room:], func(a, b *crashRecord) int { return b.At.Compare(a.At) })
	}
	crashes = append(crashes, dispensable...)
	return crashes[:min(len(crashes), maxSharedCrashes)]
}

// Digest returns a hash of the suspects in Evidence, by which entries notice that their
// evidence differs. It is 0 if there are none. It is computed anew after a change, and each
// digestLifetime, since evidence expires.
func (l *CrashLedger) Digest(now time.Time) uint64 {
	if l.digest.known && now.Sub(l.digest.at) < digestLifetime {
		return l.digest.value
	}
	l.digest = cachedDigest{known: true, at: now, value: digestCrashes(l.writeEvidence(now, maxEvidenceBytes).evidence.Crashes)}
	return l.digest.value
}

const (
	digestLifetime = time.Second
	// maxEvidenceBytes is what encoded evidence may take of a datagram, maxCrashBytes what a
	// crash without keys takes at most, and keyBytes what a key takes.
	maxEvidenceBytes = 1390
	maxCrashBytes    = 31
	keyBytes         = 8
)

// cachedDigest is the digest at a time.
type cachedDigest struct {
	known bool
	at    time.Time
	value uint64
}

// digestCrashes returns a hash that does not depend on the order of crashes and suspects. An
// endpoint may have crashed twice under the same suspects, so it is no exclusive or.
func digestCrashes(crashes []Crash) (digest uint64) {
	for _, c := range crashes {
		if len(c.Suspects) == 0 {
			continue
		}
		b := binary.LittleEndian.AppendUint64(nil, c.EndpointHash)
		for _, k := range slices.Sorted(slices.Values(c.Suspects)) {
			b = binary.LittleEndian.AppendUint64(b, uint64(k))
		}
		digest += xxhash.Sum64(b)
	}
	return digest
}
