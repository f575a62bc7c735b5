package quarantiner

import "time"

const (
	// minSharingPause is the least time between two rounds of messages with changes. A
	// crash is observed by several requests.
	minSharingPause = 50 * time.Millisecond
	// These bound the bytes of evidence that an entry sends a second, and at once after a quiet
	// time: in messages with changes, and in replies to entries that have other evidence. Neither
	// delays the other, since replies make up for lost messages with changes.
	changeRate, changeBurst = 2_000, 26_000
	replyRate, replyBurst   = 1_000, 6_000
	// minMessageBytes and minReplyBytes are the sizes of messages with changes and of replies while
	// there is more than may be sent. Small, frequent messages delay news least; a reply has room
	// for the crashes that convict a key.
	minMessageBytes = 100
	minReplyBytes   = 400
)

// Pace bounds the evidence that an entry sends. The zero value is ready to use.
type Pace struct{ changes, replies debt }

// RecordChanges records that messages with changes were sent.
func (p *Pace) RecordChanges(now time.Time, bytes int) { p.changes.add(now, bytes, changeRate) }

// RecordReply records that evidence was sent to an entry that has other evidence.
func (p *Pace) RecordReply(now time.Time, bytes int) { p.replies.add(now, bytes, replyRate) }

// MessageBytes returns the size of the messages with changes that may be sent to a number of
// receivers now.
func (p *Pace) MessageBytes(now time.Time, receivers int) int {
	left := changeBurst - p.changes.at(now, changeRate)
	return max(minMessageBytes, int(left)/max(receivers, 1))
}

// Pause returns the time until the next round of messages with changes.
func (p *Pace) Pause(now time.Time) time.Duration {
	excess := (p.changes.at(now, changeRate) - changeBurst) / changeRate
	return max(minSharingPause, time.Duration(excess*float64(time.Second)))
}

// MayReply reports whether evidence may be sent to an entry that has other evidence.
func (p *Pace) MayReply(now time.Time) bool { return p.replies.at(now, replyRate) <= replyBurst }

// ReplyBytes returns the size of the reply that may be sent now.
func (p *Pace) ReplyBytes(now time.Time) int {
	return max(minReplyBytes, int(replyBurst-p.replies.at(now, replyRate)))
}

// debt is the number of bytes sent by a time that a rate did not allow.
type debt struct {
	bytes  float64
	lastAt time.Time
}

func (d *debt) add(now time.Time, bytes int, rate float64) {
	d.bytes = d.at(now, rate) + float64(bytes)
	d.lastAt = now
}

func (d *debt) at(now time.Time, rate float64) float64 {
	return max(0, d.bytes-rate*now.Sub(d.lastAt).Seconds())
}
