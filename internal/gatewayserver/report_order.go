package gatewayserver

import (
	"maps"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/internal/messenger"
)

const (
	// reportOrderTimeout is how long the order of reports holds. It is longer than a report is
	// on its way, and after it a sidecar whose clock was set back is heard again.
	reportOrderTimeout = 1500 * time.Millisecond
	// maxReportOrders bounds the endpoints whose last report is known, twice those of the
	// largest deployment.
	maxReportOrders = 4400
)

// reportOrder finds the load reports that arrive after a later one of the same endpoint. It is
// safe for concurrent use.
type reportOrder struct {
	mu   sync.Mutex
	last map[string]lastReport
}

type lastReport struct {
	at                           time.Time
	born, startedNanos, sequence uint64
}

// isNewer reports whether no later report of the endpoint has arrived, of the same run of its
// sidecar or a later one, and of the same incarnation of the endpoint or a later one.
func (o *reportOrder) isNewer(now time.Time, l *messenger.LoadReport) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	last, known := o.last[l.GetEndpoint()]
	if known && now.Sub(last.at) < reportOrderTimeout {
		switch {
		case l.GetBorn() != last.born:
			known = l.GetBorn() < last.born
		case l.GetStartedNanos() != last.startedNanos:
			known = l.GetStartedNanos() < last.startedNanos
		default:
			known = l.GetSequence() <= last.sequence
		}
		if known {
			return false
		}
	}
	if o.last == nil {
		o.last = map[string]lastReport{}
	}
	if len(o.last) >= maxReportOrders {
		maps.DeleteFunc(o.last, func(_ string, r lastReport) bool { return now.Sub(r.at) >= reportOrderTimeout })
	}
	o.last[l.GetEndpoint()] = lastReport{at: now, born: l.GetBorn(), startedNanos: l.GetStartedNanos(), sequence: l.GetSequence()}
	return true
}
