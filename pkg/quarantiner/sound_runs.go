package quarantiner

import "time"

// maxSoundRuns bounds the sound runs that are remembered of parts, and of whole requests.
const maxSoundRuns = 8192

// soundRuns remembers the latest sound run of each key, so that it still clears a suspect of
// a crash that another entry reports late.
type soundRuns struct {
	// Whole requests rarely repeat, and would push out the parts.
	requests, parts recentRuns
}

func (r *soundRuns) add(s SoundRun) { r.ofKind(s.Key).add(s) }

func (r *soundRuns) last(k Key) (time.Time, bool) { return r.ofKind(k).last(k) }

func (r *soundRuns) ofKind(k Key) *recentRuns {
	if k.isPart() {
		return &r.parts
	}
	return &r.requests
}

// recentRuns forgets the oldest runs first, in two generations.
type recentRuns struct{ current, previous map[Key]time.Time }

func (r *recentRuns) add(s SoundRun) {
	if r.current == nil || len(r.current) >= maxSoundRuns/2 {
		r.previous, r.current = r.current, map[Key]time.Time{}
	}
	if last, ok := r.last(s.Key); !ok || s.At.After(last) {
		r.current[s.Key] = s.At
	}
}

func (r *recentRuns) last(k Key) (time.Time, bool) {
	if at, ok := r.current[k]; ok {
		return at, true
	}
	at, ok := r.previous[k]
	return at, ok
}
