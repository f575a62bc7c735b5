// Command 11 is the script of case 11 of the review: one spoilt manifest of the origin.
package main

import (
	"context"
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/review/rig3"
)

const (
	entries, engines = 3, 6
	perSecond        = 12
	before           = 8 * time.Second
	down             = time.Second
	after            = 20 * time.Second
	reportInterval   = 4 * time.Second
	// minRequests is the least number of requests that the result rests on.
	minRequests = 50
)

func main() { rig3.Main(run) }

func run(r *rig3.Record) (int, error) {
	s, err := rig3.NewSystem(r, 1)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	origin, err := rig3.NewProxy(r, s.Origin.Address())
	if err != nil {
		return 0, err
	}
	defer origin.Close()
	s.OriginAddress = origin.Address()
	s.Configure(1)
	s.Store.NameVersion("m0", 1)
	if err = start(s, 1); err != nil {
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
	failedAt := time.Now()
	if err = losePower(r, s, origin); err != nil {
		return 0, err
	}
	backAt := time.Now()
	r.Printf("the machines are back")
	watch(r, s, origin)
	stop()
	return judge(r, <-done, failedAt, backAt), nil
}

// start starts all processes and engines, which hold a version or nothing.
func start(s *rig3.System, version uint64) error {
	if err := s.StartEntries(entries); err != nil {
		return err
	}
	return s.StartEngines(engines, version)
}

// losePower ends everything for a moment. The first manifest after that is spoilt.
func losePower(r *rig3.Record, s *rig3.System, origin *rig3.Proxy) error {
	r.Printf("final fault: all machines lose power")
	s.KillAll()
	s.StopEngines()
	if rig3.HasTrouble() {
		origin.SpoilNext(rig3.SpoilDigest)
	} else {
		origin.SpoilNext(nil)
	}
	time.Sleep(down)
	return start(s, 0)
}

// watch records what the engines hold until the end of the script.
func watch(r *rig3.Record, s *rig3.System, origin *rig3.Proxy) {
	for range int((rig3.RecoverTime + after) / reportInterval) {
		time.Sleep(reportInterval)
		loaded := 0
		for _, e := range s.Engines {
			if e.Version() == 1 {
				loaded++
			}
		}
		answers, spoilt, manifests, pieces := origin.Counts()
		r.Printf("%d of %d engines hold the version; the origin has sent %d answers, %d spoilt, %d manifests, %d pieces", loaded, engines, answers, spoilt, manifests, pieces)
	}
	for i := range engines {
		name := fmt.Sprintf("sidecar-%d", i)
		r.Printf("%s has logged %d corrupt chunks", name, len(s.LogLines(name, "chunk_corrupt")))
	}
}

func judge(r *rig3.Record, answers []rig3.Answer, failedAt, backAt time.Time) int {
	from := backAt.Add(rig3.RecoverTime)
	for _, a := range answers {
		if a.SentAt.After(from) {
			r.Printf("%s sent %.1f s after the return: %v", a.ID, a.SentAt.Sub(backAt).Seconds(), a)
		}
	}
	servedBefore, sentBefore := rig3.Served(answers, time.Time{}, failedAt.Add(-time.Second))
	served, sent := rig3.Served(answers, from, time.Now())
	r.Printf("before the fault: %d of %d served; sent later than %v after the return: %d of %d served", servedBefore, sentBefore, rig3.RecoverTime, served, sent)
	switch {
	case 4*servedBefore < sentBefore || sentBefore < minRequests || sent < minRequests:
		return rig3.NotRun
	case 4*served < sent:
		return rig3.Broken
	default:
		return rig3.Held
	}
}
