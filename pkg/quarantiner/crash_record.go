package quarantiner

import (
	"slices"
	"time"
)

// crashRecord is what a ledger knows about a crash.
type crashRecord struct {
	Crash
	// ids are those given by the observers of the crash. Reports to other entries have them by
	// turns, and reportCount is the number of reports.
	ids         []uint64
	reportCount int
	// observed is set if this entry is an observer.
	observed bool
	// worst is the most suspicious of the suspects and suspicion its number of crashes. worst
	// is not set if no suspect has more than one.
	worst     Key
	suspicion int
}

// addID adds an ID under which the crash was reported.
func (r *crashRecord) addID(id uint64) {
	if id == 0 || slices.Contains(r.ids, id) || len(r.ids) >= maxIDsPerCrash {
		return
	}
	r.ids = append(r.ids, id)
}

// isSameEndpointAt reports whether a report of an endpoint and time describes this crash.
func (r *crashRecord) isSameEndpointAt(endpointHash uint64, at time.Time) bool {
	return r.EndpointHash == endpointHash && at.Sub(r.At).Abs() < crashDedupWindow
}

// report returns the crash without its keys, with its IDs by turns: an entry
// that knows two of them as two crashes learns that they are one.
func (r *crashRecord) report() Crash {
	c := Crash{EndpointHash: r.EndpointHash, At: r.At}
	if len(r.ids) > 0 {
		c.ID = r.ids[r.reportCount%len(r.ids)]
	}
	return c
}

// clearance is the clearing of a key in a crash.
type clearance struct {
	crash *crashRecord
	key   Key
	at    time.Time
}
