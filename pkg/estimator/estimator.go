// Package estimator estimates when callers first sent their requests. A caller that was
// refused sends its request again, and its objective still counts from the first time.
// During an overload many requests are such repeats: an endpoint that serves one of
// them late cannot serve a new one in time.
//
// Nothing in a request says that it is a repeat, but a repeat has less time left.
// Callers' deadlines differ, so the deadline alone does not tell either: only a
// deadline shorter than those of first requests shows a repeat. A repeat of a request
// that was refused here is recognized exactly, as its deadline is the same time.
//
// The deadlines of first requests are learned while nothing is refused, and at any time
// from requests that are known to be no repeats: a process that starts during an overload
// could not tell repeats otherwise.
package estimator

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// deadlineTolerance is how much the time of a deadline may differ between a
	// request and its repeat, due to the transit times of both.
	deadlineTolerance = 100 * time.Millisecond
	// maxReturnDelay is how long after a refusal a caller is expected to return at
	// most, whatever its deadline.
	maxReturnDelay = 30 * time.Second
	// maxRefusals bounds the remembered refusals, and so their memory. At a few
	// hundred refusals a second it covers the time in which callers return.
	maxRefusals = 4096
	// bucketRatio is the ratio of the bounds of the buckets in which deadlines are
	// counted, and so the resolution of an estimate.
	bucketRatio     = 1.02
	millisPerSecond = 1000
	// shortShare is the share of first requests whose deadlines may be shorter than
	// those that count as usual, so that a few odd ones don't matter.
	shortShare = 0.05
	// minSamples is the number of first requests from which the usual deadlines of a
	// route are known.
	minSamples = 20
	// maxSamples is the number of counted requests at which the counts are halved, so
	// that they follow changes.
	maxSamples = 4000
)

// Request describes a request that was received.
type Request struct {
	Route string
	// Fingerprint is equal for all sends of a request by one caller.
	Fingerprint uint64
	// Deadline is how long the caller still waits; 0 if unknown.
	Deadline time.Duration
	// First is set if the request is known to be no repeat.
	First bool
}

// refusal is a refused request.
type refusal struct {
	deadlineAt  time.Time
	firstSentAt time.Time
}

// Estimator estimates the first send times of the requests that one process receives.
// It is not safe for concurrent use.
type Estimator struct {
	refusals map[uint64]refusal
	// order holds the fingerprints of refusals, oldest first.
	order []uint64
	// quietFrom is when no caller that was refused is expected to return any more.
	quietFrom time.Time
	routes    map[string]*deadlines
}

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{refusals: map[uint64]refusal{}, routes: map[string]*deadlines{}}
}

// FirstSentAt returns when the caller of a request that was received at now first sent
// it: now for one that is probably not a repeat.
func (e *Estimator) FirstSentAt(now time.Time, r Request) time.Time {
	if r.Deadline <= 0 {
		return now
	}
	if rf, ok := e.refusals[r.Fingerprint]; ok && !r.First && now.Add(r.Deadline).Sub(rf.deadlineAt).Abs() <= deadlineTolerance {
		return rf.firstSentAt
	}
	ds := e.routes[r.Route]
	if ds == nil {
		ds = &deadlines{counts: map[int]int{}}
		e.routes[r.Route] = ds
	}
	if r.First || !now.Before(e.quietFrom) {
		ds.add(r.Deadline)
		return now
	}
	return now.Add(-max(ds.shortest()-r.Deadline, 0))
}

// Shortfall returns how much less time the caller of a request has left than the callers of
// first requests usually have; 0 if that is not known.
func (e *Estimator) Shortfall(r Request) time.Duration {
	if ds := e.routes[r.Route]; ds != nil && r.Deadline > 0 {
		return max(ds.shortest()-r.Deadline, 0)
	}
	return 0
}

// RecordRefusal records that a request was refused and may be sent again. firstSentAt
// is the estimate for it.
func (e *Estimator) RecordRefusal(now time.Time, r Request, firstSentAt time.Time) {
	if r.Deadline <= 0 {
		return
	}
	if quietFrom := now.Add(min(r.Deadline, maxReturnDelay)); quietFrom.After(e.quietFrom) {
		e.quietFrom = quietFrom
	}
	if _, ok := e.refusals[r.Fingerprint]; !ok {
		if len(e.order) >= maxRefusals {
			delete(e.refusals, e.order[0])
			e.order = e.order[1:]
		}
		e.order = append(e.order, r.Fingerprint)
	}
	e.refusals[r.Fingerprint] = refusal{now.Add(r.Deadline), firstSentAt}
}

// deadlines counts the deadlines of first requests on one route.
type deadlines struct {
	// counts holds the counts by bucket; see bucket.
	counts  map[int]int
	samples int
}

// add counts the deadline of a first request.
func (ds *deadlines) add(d time.Duration) {
	ds.counts[bucket(d)]++
	if ds.samples++; ds.samples < maxSamples {
		return
	}
	ds.samples = 0
	for i, n := range ds.counts {
		if n /= 2; n == 0 {
			delete(ds.counts, i)
			continue
		}
		ds.counts[i] = n
		ds.samples += n
	}
}

// bucket returns the bucket of a deadline. Bucket i starts at bucketRatio to the power
// of i milliseconds.
func bucket(d time.Duration) int {
	return int(math.Log(max(d.Seconds()*millisPerSecond, 1)) / math.Log(bucketRatio))
}

func bucketStart(i int) time.Duration {
	return time.Duration(math.Pow(bucketRatio, float64(i)) * float64(time.Millisecond))
}

// shortest returns the deadline that all but shortShare of the first requests reach; 0
// if it is not known.
func (ds *deadlines) shortest() time.Duration {
	if ds.samples < minSamples {
		return 0
	}
	below := 0
	for _, i := range slices.Sorted(maps.Keys(ds.counts)) {
		if below += ds.counts[i]; float64(below) > shortShare*float64(ds.samples) {
			return bucketStart(i)
		}
	}
	return 0
}
