// Package budgeter decides from which callers a process goes on receiving while they hold all the
// memory or connections that it has for them. The load that it answers is a crowd of callers who send
// large requests at the same time, stop before the end and keep their connections open, beside callers
// with usual requests. Only what has arrived counts, whatever a caller announces. Callers that make no
// progress give way first, then the youngest of those whose requests are large, so that the oldest
// come to their end. A part of the memory is for small requests only.
package budgeter

import (
	"container/list"
	"slices"
	"time"
)

// Config bounds what all callers of a process may hold together.
type Config struct {
	// Memory is the memory for requests, in bytes. It does not include FreeBytes of each connection.
	Memory int64
	// ReservedMemory is the part of Memory that only small requests may use, in bytes.
	ReservedMemory int64
	// Headroom is how much memory of stalled requests is freed beyond what is missing, in bytes, so that
	// a large request does not wait for each part.
	Headroom int64
	// SmallBytes is the largest size of a small request, in bytes.
	SmallBytes int64
	// FreeBytes is what each connection may hold without a share of Memory, in bytes.
	FreeBytes int64
	// MaxConns is the largest number of connections. MaxEvictedConns is how many more may be open
	// while the process is closing them.
	MaxConns, MaxEvictedConns int
	// StallTime is how long a caller may make no progress before it gives way to others.
	StallTime time.Duration
	// ProgressBytes is the number of received bytes that count as progress.
	ProgressBytes int64
}

// ID identifies a connection.
type ID uint64

// Outcome is the kind of a Decision.
type Outcome int

// Outcomes of a decision.
const (
	// OutcomeGranted means that the connection or the memory is granted.
	OutcomeGranted Outcome = iota
	// OutcomeWait means that the memory may become free soon. The caller of Grow has to stop reading
	// and call Grow again when memory has become free, and at Decision.RetryAt.
	OutcomeWait
	// OutcomeRefused means that the request can't be received, or the connection not be kept.
	OutcomeRefused
)

// Reason says why a caller is refused or gives way.
type Reason string

// Reasons.
const (
	ReasonRefused  Reason = "refused"
	ReasonStalled  Reason = "stalled"
	ReasonYoungest Reason = "youngest"
	ReasonIdle     Reason = "idle"
	ReasonExpired  Reason = "expired"
	ReasonFull     Reason = "full"
)

// Eviction is a connection that has to give way. Its memory counts until Shrink, Answer or Close.
type Eviction struct {
	ID     ID
	Reason Reason
}

// Decision is the answer to a caller that opens a connection or needs memory.
type Decision struct {
	Outcome Outcome
	// Reason is set if the outcome is OutcomeRefused.
	Reason Reason
	// RetryAt is set if the outcome is OutcomeWait.
	RetryAt time.Time
	// Evictions are the connections that the process has to stop serving now.
	Evictions []Eviction
}

type phase int

const (
	// phaseReceiving is from the first byte of a request to its last one, and before the first request.
	phaseReceiving phase = iota
	// phaseServing is from the last byte of a request until its answer has been sent.
	phaseServing
	// phaseIdle is between two requests.
	phaseIdle
	// phaseRefused is from the refusal of a request until its connection is closed.
	phaseRefused
)

type conn struct {
	id    ID
	phase phase
	// held is the memory of the connection, charged the part of it that counts.
	held, charged int64
	// received counts the bytes of the request, markedBytes those at progressAt.
	received, markedBytes int64
	// progressAt is when the connection last changed its phase or made progress.
	progressAt time.Time
	// waitingSince is set while the request waits for memory.
	waitingSince time.Time
	evicted      bool
	// isGrowing is set while the connection is in Budget.growing.
	isGrowing bool
	// element is the position in the list of its phase; nil if the connection is evicted or served.
	element *list.Element
}

// Budget keeps account of what callers hold. It is not safe for concurrent use.
type Budget struct {
	cfg   Config
	conns map[ID]*conn
	// receiving, idle and refused hold the connections in these phases that are not evicted, those whose
	// progress or change of phase is longest ago in front.
	receiving, idle, refused *list.List
	// growing holds the connections with charged memory or that wait for some, the oldest first.
	growing []*conn
	// charged is the memory that counts, releasing the part of it that evicted connections hold.
	charged, releasing int64
	evicted            int
}

// New returns a budget without connections.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, conns: map[ID]*conn{}, receiving: list.New(), idle: list.New(), refused: list.New()}
}

// Usage is what all callers hold together.
type Usage struct {
	// MemoryBytes does not include Config.FreeBytes of each connection.
	MemoryBytes int64
	Conns       int
}

// Usage returns what all callers hold.
func (b *Budget) Usage() Usage { return Usage{MemoryBytes: b.charged, Conns: len(b.conns)} }

// Open registers a connection that a caller has opened, unless it is refused.
func (b *Budget) Open(now time.Time, id ID) (d Decision) {
	mustEvict := len(b.conns)-b.evicted >= b.cfg.MaxConns
	if mustEvict && b.evicted < b.cfg.MaxEvictedConns {
		if victim, reason := b.unused(now); victim != nil {
			b.evict(victim)
			d.Evictions = []Eviction{{ID: victim.id, Reason: reason}}
		}
	}
	if mustEvict && len(d.Evictions) == 0 || len(b.conns) >= b.cfg.MaxConns+b.cfg.MaxEvictedConns {
		d.Outcome, d.Reason = OutcomeRefused, ReasonFull
		return d
	}
	c := &conn{id: id, progressAt: now}
	c.element = b.receiving.PushBack(c)
	b.conns[id] = c
	return d
}

// unused returns the connection that is closed for another one; nil if there is none.
func (b *Budget) unused(now time.Time) (*conn, Reason) {
	if c := first(b.refused); c != nil {
		return c, ReasonRefused
	}
	if c := first(b.receiving); c != nil && b.isStalled(now, c) {
		return c, ReasonStalled
	}
	return first(b.idle), ReasonIdle
}

// first returns the first connection of a list; nil if it is empty.
func first(l *list.List) *conn {
	if e := l.Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

func (b *Budget) isStalled(now time.Time, c *conn) bool {
	return c.phase == phaseReceiving && c.waitingSince.IsZero() && now.Sub(c.progressAt) >= b.cfg.StallTime
}

// Receive records that n bytes of a request have arrived. It returns false if the connection was
// evicted. If that was because it was idle, it stays open: its caller could not know of the eviction.
func (b *Budget) Receive(now time.Time, id ID, n int) bool {
	c := b.conns[id]
	if c == nil {
		return false
	}
	if c.phase == phaseServing || c.phase == phaseRefused {
		return true
	}
	b.reviveIdle(c)
	isFirst := c.phase == phaseIdle || c.received == 0
	if isFirst {
		c.received, c.markedBytes = 0, 0
		b.setPhase(now, c, phaseReceiving)
	}
	c.received += int64(n)
	if !isFirst && c.received-c.markedBytes >= b.cfg.ProgressBytes {
		b.markProgress(now, c)
	}
	return !c.evicted
}

// reviveIdle takes back the eviction of an idle connection.
func (b *Budget) reviveIdle(c *conn) {
	if c.phase == phaseIdle {
		b.revive(c)
	}
}

func (b *Budget) revive(c *conn) {
	if c.evicted {
		c.evicted = false
		b.evicted--
		b.releasing -= c.charged
	}
}

func (b *Budget) markProgress(now time.Time, c *conn) {
	c.progressAt, c.markedBytes = now, c.received
	if c.element != nil {
		b.receiving.MoveToBack(c.element)
	}
}

// Complete records that a request has been received completely, so that it does not give way any more.
// It returns false if the connection was evicted before, as Receive does.
func (b *Budget) Complete(now time.Time, id ID) bool {
	c := b.conns[id]
	if c == nil {
		return false
	}
	b.reviveIdle(c)
	if c.evicted {
		return false
	}
	b.setPhase(now, c, phaseServing)
	return true
}

// Answer records that a request has been answered and its memory is free.
func (b *Budget) Answer(now time.Time, id ID) {
	if c := b.conns[id]; c != nil {
		b.free(c, c.held)
		b.setPhase(now, c, phaseIdle)
	}
}

// Refuse records that a request was refused before it had been received, and that its memory is free. Its
// connection stays open for the answer, and gives way to others first.
func (b *Budget) Refuse(now time.Time, id ID) {
	if c := b.conns[id]; c != nil {
		b.free(c, c.held)
		b.revive(c)
		b.setPhase(now, c, phaseRefused)
	}
}

// Close removes a connection.
func (b *Budget) Close(id ID) {
	c := b.conns[id]
	if c == nil {
		return
	}
	c.waitingSince = time.Time{}
	b.free(c, c.held)
	b.unlist(c)
	if c.evicted {
		b.evicted--
	}
	delete(b.conns, id)
}

// Shrink records that n bytes of a request's memory are free.
func (b *Budget) Shrink(id ID, n int64) {
	if c := b.conns[id]; c != nil {
		b.free(c, min(n, c.held))
	}
}

// Expired returns the connections that have been idle for longer than a time. They are evicted.
func (b *Budget) Expired(now time.Time, idleTime time.Duration) (evictions []Eviction) {
	for c := first(b.idle); c != nil && now.Sub(c.progressAt) > idleTime; c = first(b.idle) {
		b.evict(c)
		evictions = append(evictions, Eviction{ID: c.id, Reason: ReasonExpired})
	}
	return evictions
}

// Grow asks for n more bytes of memory for a request.
func (b *Budget) Grow(now time.Time, id ID, n int64) Decision {
	c := b.conns[id]
	if c == nil || c.evicted {
		return Decision{Outcome: OutcomeRefused, Reason: ReasonFull}
	}
	charged := max(c.held+n-b.cfg.FreeBytes, 0)
	more := charged - c.charged
	missing := b.charged + more - b.limit(c, n)
	isSmall := c.held+n <= b.cfg.SmallBytes
	if more == 0 || missing <= 0 && (isSmall || !b.isOlderWaiting(c)) {
		b.grant(now, c, n, more)
		return Decision{}
	}
	if c.waitingSince.IsZero() {
		b.markProgress(now, c)
		c.waitingSince = now
		b.addGrowing(c)
	}
	d := Decision{Outcome: OutcomeWait, RetryAt: c.waitingSince.Add(b.cfg.StallTime)}
	for b.releasing < missing+b.cfg.Headroom {
		victim, reason := b.victimFor(now, c)
		if victim == nil || reason != ReasonStalled && b.releasing >= missing {
			break
		}
		b.evict(victim)
		d.Evictions = append(d.Evictions, Eviction{ID: victim.id, Reason: reason})
	}
	if !now.Before(d.RetryAt) {
		d.Outcome, d.Reason = OutcomeRefused, ReasonFull
		b.evict(c)
	}
	return d
}

// limit returns how much memory may be in use after a request has got n more bytes.
func (b *Budget) limit(c *conn, n int64) int64 {
	if c.held+n <= b.cfg.SmallBytes {
		return b.cfg.Memory
	}
	return b.cfg.Memory - b.cfg.ReservedMemory
}

func (b *Budget) grant(now time.Time, c *conn, n, more int64) {
	c.held += n
	c.charged += more
	b.charged += more
	if more > 0 {
		b.addGrowing(c)
	}
	if !c.waitingSince.IsZero() {
		c.waitingSince = time.Time{}
		b.markProgress(now, c)
	}
}

// isOlderWaiting reports whether a large request that began to hold memory before c waits for more.
func (b *Budget) isOlderWaiting(c *conn) bool {
	for _, other := range b.growing {
		if other == c {
			return false
		}
		if !other.evicted && !other.waitingSince.IsZero() && other.held > b.cfg.SmallBytes {
			return true
		}
	}
	return false
}

// victimFor returns the connection whose memory is freed for c: the one that has stalled for longest,
// or the youngest one if that is younger than c; nil if there is none.
func (b *Budget) victimFor(now time.Time, c *conn) (victim *conn, reason Reason) {
	isYounger := false
	for _, other := range b.growing {
		switch {
		case other == c:
			isYounger = true
		case other.evicted || other.charged == 0 || other.phase != phaseReceiving:
		case b.isStalled(now, other):
			if reason != ReasonStalled || other.progressAt.Before(victim.progressAt) {
				victim, reason = other, ReasonStalled
			}
		case isYounger && reason != ReasonStalled:
			victim, reason = other, ReasonYoungest
		}
	}
	return victim, reason
}

func (b *Budget) evict(c *conn) {
	c.evicted = true
	b.evicted++
	b.releasing += c.charged
	b.unlist(c)
}

// free returns n bytes of a connection's memory.
func (b *Budget) free(c *conn, n int64) {
	c.held -= n
	charged := max(c.held-b.cfg.FreeBytes, 0)
	freed := c.charged - charged
	c.charged = charged
	b.charged -= freed
	if c.evicted {
		b.releasing -= freed
	}
	if charged == 0 && c.waitingSince.IsZero() {
		b.removeGrowing(c)
	}
}

func (b *Budget) setPhase(now time.Time, c *conn, p phase) {
	b.unlist(c)
	c.phase, c.progressAt, c.waitingSince = p, now, time.Time{}
	if c.charged == 0 {
		b.removeGrowing(c)
	}
	if c.evicted {
		return
	}
	switch p {
	case phaseReceiving:
		c.element = b.receiving.PushBack(c)
	case phaseIdle:
		c.received = 0
		c.element = b.idle.PushBack(c)
	case phaseRefused:
		c.element = b.refused.PushBack(c)
	case phaseServing:
	}
}

// unlist removes a connection from the list of its phase.
func (b *Budget) unlist(c *conn) {
	if c.element == nil {
		return
	}
	switch c.phase {
	case phaseReceiving:
		b.receiving.Remove(c.element)
	case phaseIdle:
		b.idle.Remove(c.element)
	case phaseRefused:
		b.refused.Remove(c.element)
	case phaseServing:
	}
	c.element = nil
}

func (b *Budget) addGrowing(c *conn) {
	if !c.isGrowing {
		c.isGrowing = true
		b.growing = append(b.growing, c)
	}
}

func (b *Budget) removeGrowing(c *conn) {
	if c.isGrowing {
		c.isGrowing = false
		i := slices.Index(b.growing, c)
		b.growing = slices.Delete(b.growing, i, i+1)
	}
}
