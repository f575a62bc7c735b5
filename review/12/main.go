// Command 12 is the script of case 12 of the review: a version is named while all entries and sidecars are
// down.
package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"flamingoledge.org/flamingoledge/review/rig3"
)

const (
	entries, engines = 3, 6
	perSecond        = 20
	before           = 6 * time.Second
	// namedAfter is when the version is named, and down how long the entries are away. The sidecars
	// start again after sidecarsDown.
	namedAfter   = time.Second
	sidecarsDown = 1500 * time.Millisecond
	down         = 5 * time.Second
	watched      = 22 * time.Second
)

func main() { rig3.Main(run) }

func run(r *rig3.Record) (int, error) {
	s, err := rig3.NewSystem(r, 1, 2)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	s.Configure(1)
	s.Store.NameVersion("m0", 1)
	if err = s.StartEntries(entries); err != nil {
		return 0, err
	}
	if err = s.StartEngines(engines, 1); err != nil {
		return 0, err
	}
	if err = s.AwaitServing(entries, 20*time.Second); err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan []rig3.Answer)
	go func() { done <- s.Traffic(ctx, entries, perSecond) }()
	time.Sleep(before)
	acknowledgedAt, backAt, err := name(r, s)
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Until(acknowledgedAt.Add(watched)))
	stop()
	return judge(r, s, <-done, acknowledgedAt, backAt), nil
}

// name names version 2 in the middle of an outage of all entries and sidecars. It returns when the
// entries are back.
func name(r *rig3.Record, s *rig3.System) (acknowledgedAt, backAt time.Time, err error) {
	if !rig3.HasTrouble() {
		s.Store.NameVersion("m0", 2)
		r.Printf("the store has accepted version 2")
		return time.Now(), time.Now(), nil
	}
	r.Printf("all entries and sidecars are killed")
	for i := range engines {
		kill(s, fmt.Sprintf("sidecar-%d", i))
	}
	for i := range entries {
		kill(s, fmt.Sprintf("entry-%d", i))
	}
	time.Sleep(namedAfter)
	s.Store.NameVersion("m0", 2)
	acknowledgedAt = time.Now()
	r.Printf("the store has accepted version 2")
	time.Sleep(sidecarsDown - namedAfter)
	for i := range engines {
		if err = s.StartSidecar(i); err != nil {
			return acknowledgedAt, backAt, err
		}
	}
	r.Printf("the sidecars have started again")
	time.Sleep(down - sidecarsDown)
	err = s.StartEntries(entries)
	r.Printf("the entries have started again")
	return acknowledgedAt, time.Now(), err
}

func kill(s *rig3.System, name string) {
	p := s.Process(name)
	p.Signal(syscall.SIGKILL)
	p.Exit()
}

// judge counts the requests that began on version 1 too late.
func judge(r *rig3.Record, s *rig3.System, answers []rig3.Answer, acknowledgedAt, backAt time.Time) int {
	bound := acknowledgedAt.Add(rig3.VersionBound)
	late, last := 0, time.Duration(0)
	for _, a := range answers {
		for _, e := range s.Engines {
			for _, run := range e.RunsOf(a.ID) {
				if run.Version != 1 || !run.At.After(bound) || run.At.Before(backAt.Add(rig3.ContactTime)) {
					continue
				}
				late++
				last = max(last, run.At.Sub(acknowledgedAt))
				r.Printf("%s began on version 1 at %s, %.2f s after the acknowledgement of version 2", a.ID, run.Endpoint, run.At.Sub(acknowledgedAt).Seconds())
			}
		}
	}
	servedBefore, sentBefore := rig3.Served(answers, time.Time{}, acknowledgedAt.Add(-2*namedAfter))
	served, sent := rig3.Served(answers, backAt, time.Now())
	r.Printf("%d of %d streams served before, %d of %d after; %d requests began on version 1 later than %v after the acknowledgement, the last %.2f s after it", servedBefore, sentBefore, served, sent, late, rig3.VersionBound, last.Seconds())
	switch {
	case 2*servedBefore < sentBefore || sent == 0:
		return rig3.NotRun
	case late > 0:
		return rig3.Broken
	default:
		return rig3.Held
	}
}
