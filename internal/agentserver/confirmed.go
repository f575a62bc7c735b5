package agentserver

import (
	"time"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/dater"
)

// withConfirmed returns the confirmations with those in the reply to a plan request that was
// sent at sentAt. The entry waited before it replied, so they are at least as recent.
func withConfirmed(c dater.Confirmations, sentAt time.Time, p *messenger.PlanReply) dater.Confirmations {
	repliedAt := sentAt.Add(time.Duration(p.GetWaitedMs()) * time.Millisecond)
	for _, v := range p.GetConfirmed() {
		c = c.With(dater.Confirmation{
			Model: v.GetModel(), Version: v.GetVersion(), At: repliedAt.Add(-time.Duration(v.GetAgeMs()) * time.Millisecond),
		})
	}
	return c
}

// toConfirmed encodes the confirmations. It rounds ages up.
func toConfirmed(now time.Time, c dater.Confirmations) (out []*messenger.ConfirmedVersion) {
	for _, n := range c.All() {
		ms := now.Sub(n.At)/time.Millisecond + 1
		out = append(out, &messenger.ConfirmedVersion{Model: n.Model, Version: n.Version, AgeMs: uint32(min(max(ms, 0), maxAgeMillis))})
	}
	return out
}

// withNamed returns the namings with those in the reply to a plan request that was received at
// receivedAt. A time that is too early would grow with each entry that is told of it, so the delay
// of the reply is not added to its age.
func withNamed(n dater.Namings, receivedAt time.Time, p *messenger.PlanReply) dater.Namings {
	for _, v := range p.GetVersions() {
		if !v.GetHeld() {
			n = n.With(dater.Naming{
				Model: v.GetModel(), Version: v.GetVersion(), At: receivedAt.Add(-time.Duration(v.GetAgeMs()) * time.Millisecond), Undated: v.GetUndated(),
			})
		}
	}
	return n
}

// toNamed encodes namings.
func toNamed(now time.Time, n dater.Namings) (out []*messenger.NamedVersion) {
	for _, v := range n.All() {
		out = append(out, &messenger.NamedVersion{
			Model: v.Model, Version: v.Version, AgeMs: uint32(min(max(now.Sub(v.At)/time.Millisecond, 0), maxAgeMillis)), Undated: v.Undated,
		})
	}
	return out
}

// maxAgeMillis caps the ages that are sent, at about 25 days.
const maxAgeMillis = 1 << 31
