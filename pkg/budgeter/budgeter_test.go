package budgeter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/budgeter"
)

const (
	kb = 1 << 10
	mb = 1 << 20
	// partBytes is the memory that a caller asks for at a time.
	partBytes = 32 * kb
	stallTime = 500 * time.Millisecond
	// step is the time between two packets of a caller.
	step = 10 * time.Millisecond
)

var cfg = budgeter.Config{
	Memory: 8 * mb, ReservedMemory: 2 * mb, Headroom: mb, SmallBytes: 16 * kb, FreeBytes: 4 * kb, MaxConns: 300, MaxEvictedConns: 30,
	StallTime: stallTime, ProgressBytes: 16 * kb,
}

// sender is a caller that sends a request.
type sender struct {
	// size is the size of its request, and stopAt where it stops; 0 if it does not.
	size, stopAt int
	// perStep is the number of bytes that it sends in a step, and lateStep that after stopAt.
	perStep, lateStep int
	startAt           time.Duration
}

type outcome struct {
	isComplete, isRefused bool
	endedAt               time.Duration
}

// crowd returns n times the same sender.
func crowd(n int, s sender) (all []sender) {
	for range n {
		all = append(all, s)
	}
	return all
}

// player lets senders send to a budget.
type player struct {
	budget        *budgeter.Budget
	senders       []sender
	outcomes      []outcome
	sent, granted []int
}

// play lets senders send for some time. It returns how each ended and the most memory that was in use.
func play(b *budgeter.Budget, senders []sender, length time.Duration) (outcomes []outcome, peak int64) {
	p := player{budget: b, senders: senders, outcomes: make([]outcome, len(senders)), sent: make([]int, len(senders)), granted: make([]int, len(senders))}
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < length; at += step {
		for i, s := range senders {
			if at == s.startAt {
				p.evict(at, b.Open(start.Add(at), budgeter.ID(i)).Evictions)
			}
			if at >= s.startAt && !p.hasEnded(i) {
				p.send(start.Add(at), at, i)
			}
		}
		peak = max(peak, b.Usage().MemoryBytes)
	}
	return p.outcomes, peak
}

func (p *player) hasEnded(i int) bool { return p.outcomes[i].isComplete || p.outcomes[i].isRefused }

func (p *player) end(i int, at time.Duration, isComplete bool) {
	p.outcomes[i] = outcome{isComplete: isComplete, isRefused: !isComplete, endedAt: at}
	p.budget.Close(budgeter.ID(i))
}

func (p *player) evict(at time.Duration, evictions []budgeter.Eviction) {
	for _, e := range evictions {
		p.end(int(e.ID), at, false)
	}
}

// send lets a sender send what it can in a step.
func (p *player) send(now time.Time, at time.Duration, i int) {
	s, id := p.senders[i], budgeter.ID(i)
	left := s.perStep
	if s.stopAt > 0 && p.sent[i] >= s.stopAt {
		left = s.lateStep
	}
	for left > 0 {
		if p.sent[i] >= p.granted[i] {
			more := min(partBytes, s.size-p.granted[i])
			d := p.budget.Grow(now, id, int64(more))
			p.evict(at, d.Evictions)
			if d.Outcome == budgeter.OutcomeRefused {
				p.end(i, at, false)
			}
			if d.Outcome != budgeter.OutcomeGranted {
				return
			}
			p.granted[i] += more
		}
		n := min(left, p.granted[i]-p.sent[i])
		if s.stopAt > 0 && p.sent[i] < s.stopAt {
			n = min(n, s.stopAt-p.sent[i])
		}
		p.budget.Receive(now, id, n)
		p.sent[i] += n
		if left -= n; p.sent[i] == s.size {
			p.budget.Complete(now, id)
			p.end(i, at, true)
			return
		}
		if p.sent[i] == s.stopAt {
			return
		}
	}
}

// TestCrowdReplayed guards against callers that are kept out by others who hold all the memory, and
// against more memory than there is.
func TestCrowdReplayed(t *testing.T) {
	const late = 2 * time.Second
	small := sender{size: 2 * kb, perStep: 2 * kb, startAt: late}
	large := sender{size: 4 * mb, perStep: 256 * kb, startAt: late}
	// tolerance covers the steps in which memory is freed and a large request comes.
	const tolerance = 300 * time.Millisecond
	tests := map[string]struct {
		crowd []sender
		// largeAfter is how long after its start a sound large request is complete at the latest; 0 if
		// it may be refused.
		largeAfter time.Duration
		// complete is the least number of the crowd's requests that are complete.
		complete int
	}{
		"nobody else":            {largeAfter: tolerance},
		"stop short of the end":  {crowd: crowd(100, sender{size: mb, stopAt: mb - 900, perStep: 64 * kb}), largeAfter: tolerance},
		"drip short of the end":  {crowd: crowd(100, sender{size: mb, stopAt: mb - 900, perStep: 64 * kb, lateStep: 1}), largeAfter: tolerance},
		"stop when it comes":     {crowd: crowd(100, sender{size: mb, stopAt: 56 * kb, perStep: 56 * kb, startAt: late - 80*time.Millisecond}), largeAfter: stallTime + tolerance},
		"stop in the first part": {crowd: crowd(250, sender{size: mb, stopAt: 20 * kb, perStep: 20 * kb}), largeAfter: tolerance},
		"send at the same time":  {crowd: crowd(100, sender{size: mb, perStep: 64 * kb, startAt: late}), complete: 6},
		"large at the same time": {crowd: crowd(100, sender{size: 4 * mb, perStep: 64 * kb, startAt: late}), complete: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := budgeter.New(cfg)
			senders := append(append([]sender{}, tc.crowd...), small, large)
			outcomes, peak := play(b, senders, 6*time.Second)
			is.True(peak <= cfg.Memory)
			is.True(outcomes[len(tc.crowd)].isComplete) // the small request
			is.Equal(outcomes[len(tc.crowd)].endedAt, late)
			o := outcomes[len(tc.crowd)+1]
			t.Logf("large request: %+v", o)
			if tc.largeAfter > 0 {
				is.True(o.isComplete)
				is.True(o.endedAt <= late+tc.largeAfter)
			}
			complete := 0
			for _, o := range outcomes[:len(tc.crowd)] {
				if o.isComplete {
					complete++
				}
			}
			t.Logf("%d of the crowd's %d requests are complete, peak %d bytes", complete, len(tc.crowd), peak)
			is.True(complete >= tc.complete)
		})
	}
}

// TestSmallRequestsBesideCompleteOnes guards against small requests that are refused because complete
// ones, which don't give way, hold all the memory.
func TestSmallRequestsBesideCompleteOnes(t *testing.T) {
	is := is.New(t)
	b, now := budgeter.New(cfg), time.Unix(1000, 0)
	for id := budgeter.ID(0); ; id++ {
		b.Open(now, id)
		if b.Grow(now, id, mb).Outcome != budgeter.OutcomeGranted {
			break
		}
		is.True(b.Complete(now, id))
	}
	is.Equal(b.Usage().MemoryBytes, int64(6*(mb-4*kb)))
	for id := budgeter.ID(100); id < 200; id++ {
		b.Open(now, id)
		is.Equal(b.Grow(now, id, 16*kb).Outcome, budgeter.OutcomeGranted)
	}
}

// TestConnections guards against more connections than allowed, and against callers that can't
// connect because others keep connections that they don't use.
func TestConnections(t *testing.T) {
	const late = 600 * time.Millisecond
	idle := func(b *budgeter.Budget, now time.Time, id budgeter.ID) {
		b.Receive(now, id, 100)
		b.Complete(now, id)
		b.Answer(now, id)
	}
	tests := map[string]struct {
		// use is what the callers of the first connections do, at the start.
		use func(b *budgeter.Budget, now time.Time, id budgeter.ID)
		// after is the time until another caller connects.
		after time.Duration
		want  budgeter.Decision
	}{
		"silent":               {use: func(*budgeter.Budget, time.Time, budgeter.ID) {}, after: late, want: budgeter.Decision{Evictions: []budgeter.Eviction{{ID: 0, Reason: budgeter.ReasonStalled}}}},
		"just connected":       {use: func(*budgeter.Budget, time.Time, budgeter.ID) {}, want: budgeter.Decision{Outcome: budgeter.OutcomeRefused, Reason: budgeter.ReasonFull}},
		"stopped in a request": {use: func(b *budgeter.Budget, now time.Time, id budgeter.ID) { b.Receive(now, id, 100) }, after: late, want: budgeter.Decision{Evictions: []budgeter.Eviction{{ID: 0, Reason: budgeter.ReasonStalled}}}},
		"idle":                 {use: idle, want: budgeter.Decision{Evictions: []budgeter.Eviction{{ID: 0, Reason: budgeter.ReasonIdle}}}},
		"idle, one is silent": {use: func(b *budgeter.Budget, now time.Time, id budgeter.ID) {
			if id != 5 {
				idle(b, now, id)
			}
		}, after: late, want: budgeter.Decision{Evictions: []budgeter.Eviction{{ID: 5, Reason: budgeter.ReasonStalled}}}},
		"refused": {use: func(b *budgeter.Budget, now time.Time, id budgeter.ID) { b.Refuse(now, id) }, want: budgeter.Decision{Evictions: []budgeter.Eviction{{ID: 0, Reason: budgeter.ReasonRefused}}}},
		"idle, one was refused": {use: func(b *budgeter.Budget, now time.Time, id budgeter.ID) {
			if idle(b, now, id); id == 7 {
				b.Refuse(now, id)
			}
		}, after: late, want: budgeter.Decision{Evictions: []budgeter.Eviction{{ID: 7, Reason: budgeter.ReasonRefused}}}},
		"silent, one was refused after it was evicted": {use: func(b *budgeter.Budget, now time.Time, id budgeter.ID) {
			if id == 9 {
				b.Grow(now, id, 9*mb) // more than there is
				b.Grow(now.Add(stallTime), id, 9*mb)
				b.Refuse(now.Add(stallTime), id)
			}
		}, after: late, want: budgeter.Decision{Evictions: []budgeter.Eviction{{ID: 9, Reason: budgeter.ReasonRefused}}}},
		"served": {use: func(b *budgeter.Budget, now time.Time, id budgeter.ID) { b.Complete(now, id) }, after: late, want: budgeter.Decision{Outcome: budgeter.OutcomeRefused, Reason: budgeter.ReasonFull}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, now := budgeter.New(cfg), time.Unix(1000, 0)
			for id := range budgeter.ID(cfg.MaxConns) {
				is.Equal(b.Open(now, id), budgeter.Decision{})
				tc.use(b, now, id)
			}
			is.Equal(b.Open(now.Add(tc.after), 1000), tc.want)
		})
	}
}

// TestSlowlyClosedConnections guards against connections beyond the limit while evicted ones are not
// closed yet.
func TestSlowlyClosedConnections(t *testing.T) {
	is := is.New(t)
	b, now := budgeter.New(cfg), time.Unix(1000, 0)
	for id := range budgeter.ID(1000) {
		now = now.Add(10 * time.Millisecond)
		b.Open(now, id)
	}
	is.Equal(b.Usage().Conns, cfg.MaxConns+cfg.MaxEvictedConns)
	b.Close(0)
	is.Equal(b.Open(now, 1000).Outcome, budgeter.OutcomeGranted)
}

// TestRevivedConnections guards against callers that are kept out by idle connections, of which more are
// open than allowed because they were used again while they were evicted.
func TestRevivedConnections(t *testing.T) {
	is := is.New(t)
	b, now := budgeter.New(cfg), time.Unix(1000, 0)
	const all = budgeter.ID(300 + 30)
	for id := range all {
		is.Equal(b.Open(now, id).Outcome, budgeter.OutcomeGranted)
		for i := range id + 1 {
			b.Receive(now, i, 1)
			b.Complete(now, i)
			b.Answer(now, i)
		}
	}
	d := b.Open(now, all)
	is.Equal(d.Outcome, budgeter.OutcomeRefused)
	is.Equal(len(d.Evictions), 1)
	b.Close(d.Evictions[0].ID)
	is.Equal(b.Open(now, all).Outcome, budgeter.OutcomeGranted)
}

// TestIdleConnections guards against requests that are lost because they cross the eviction of their
// idle connection, and against idle connections that are kept for longer than allowed.
func TestIdleConnections(t *testing.T) {
	is := is.New(t)
	b, now := budgeter.New(cfg), time.Unix(1000, 0)
	for id := range budgeter.ID(2) {
		b.Open(now, id)
		b.Receive(now, id, 100)
		b.Complete(now, id)
		b.Answer(now, id)
	}
	const idleTime = 15 * time.Second
	is.Equal(len(b.Expired(now.Add(idleTime), idleTime)), 0)
	is.Equal(len(b.Expired(now.Add(idleTime+1), idleTime)), 2)
	is.True(b.Receive(now.Add(idleTime+2), 0, 100))
	is.Equal(b.Grow(now.Add(idleTime+2), 0, 100).Outcome, budgeter.OutcomeGranted)
	is.True(b.Complete(now.Add(idleTime+2), 1)) // its request had been read with the one before
	is.Equal(len(b.Expired(now.Add(time.Hour), idleTime)), 0)
}

// TestEvictedRequestIsNotServed guards against a request that is served although its caller may have
// been told that it is not.
func TestEvictedRequestIsNotServed(t *testing.T) {
	is := is.New(t)
	b, now := budgeter.New(cfg), time.Unix(1000, 0)
	b.Open(now, 1)
	b.Receive(now, 1, 1)
	is.Equal(b.Grow(now, 1, 5*mb).Outcome, budgeter.OutcomeGranted)
	now = now.Add(stallTime)
	b.Open(now, 2)
	b.Receive(now, 2, 1)
	d := b.Grow(now, 2, 4*mb)
	is.Equal(d, budgeter.Decision{Outcome: budgeter.OutcomeWait, RetryAt: now.Add(stallTime), Evictions: []budgeter.Eviction{{ID: 1, Reason: budgeter.ReasonStalled}}})
	is.True(!b.Receive(now, 1, mb))
	is.True(!b.Complete(now, 1))
	is.Equal(b.Grow(now, 1, 1).Outcome, budgeter.OutcomeRefused)
	is.Equal(b.Grow(now, 2, 4*mb).Outcome, budgeter.OutcomeWait) // its memory is not free yet
	b.Shrink(1, 5*mb)
	is.Equal(b.Grow(now, 2, 4*mb).Outcome, budgeter.OutcomeGranted)
	b.Close(1)
	b.Close(2)
	is.Equal(b.Usage(), budgeter.Usage{})
}
