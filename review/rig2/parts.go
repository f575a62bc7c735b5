package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/platform/standin"
)

const (
	// restartAfter is the time from a crash of an engine to its next start.
	restartAfter = 2 * time.Second
	// soundPerSecond is the rate of the sound requests, which share the tenant and the first
	// part of the prompt with the others.
	soundPerSecond = 10
	// fewSoundPerSecond is their rate in a quiet hour, in which most engines are idle.
	fewSoundPerSecond = 2
	// maxPartRequests is the number of requests of the rule BUDGET, and crashesBefore the number
	// of crashes after which they count.
	maxPartRequests, crashesBefore = 3, 5
)

// partFleet is a deployment whose engines may crash on a part of a prompt.
type partFleet struct {
	*fleet
	client  *client
	engines []*standin.Supervisor
}

func newPartFleet(f *fleet, hasTrouble bool) (*partFleet, error) {
	p := &partFleet{fleet: f, client: &client{fleet: f, rec: f.rec}}
	var parts []string
	if hasTrouble {
		parts = []string{crashPart}
	}
	for i := range machineEngines {
		e, err := standin.NewSupervisor(standin.SupervisorConfig{
			Engine: standin.EngineConfig{
				ID: fmt.Sprintf("i-%d", i), Service: engineName, Zone: zone, Address: f.engineAddress(i),
				Store: f.store, Weights: f.weights, Spec: engineSpec, Version: 1,
			},
			CrashParts: parts, RestartAfter: restartAfter,
		})
		if err != nil {
			return p, err
		}
		p.engines = append(p.engines, e)
	}
	for i := range machineEntries {
		if err := f.startEntry(i); err != nil {
			return p, err
		}
	}
	for i := range machineEngines {
		if err := f.startSidecar(i); err != nil {
			return p, err
		}
	}
	return p, p.awaitReady(p.client)
}

func (p *partFleet) close() {
	for _, e := range p.engines {
		e.Close()
	}
}

// sendGroup sends n requests with the part at the same moment, to the entries by turns.
func (p *partFleet) sendGroup(n int) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { p.client.send(request{entry: i % machineEntries, what: "part", prompt: spoiltPrompt()}) })
	}
	wg.Wait()
}

// crashes returns the times of all crashes by the part.
func (p *partFleet) crashes() (times []time.Time) {
	for _, s := range p.engines {
		for _, e := range s.Engines() {
			// An engine crashes once, whatever it was about to begin.
			for _, c := range e.Crashes()[:min(1, len(e.Crashes()))] {
				times = append(times, c.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// arrivals returns the requests with the part that reached engines, in order of time.
func (p *partFleet) arrivals() (out []standin.Arrival) {
	for _, s := range p.engines {
		for _, e := range s.Engines() {
			for _, a := range e.Arrivals() {
				if strings.HasPrefix(a.ID, "part-") && a.TurnedAwayUntil.IsZero() {
					out = append(out, a)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	return out
}

// check checks the rule BUDGET for the part: of the requests that entries in touch sent later
// than contactTime after the fifth crash, at most maxPartRequests reach engines. All entries
// were started at the given times.
func (p *partFleet) check() (broken bool) {
	crashes := p.crashes()
	for _, at := range crashes {
		p.rec.logAt(at, "crash", "an engine, by the part")
	}
	inTouchFrom := time.Time{}
	for _, name := range p.running("entry-") {
		if at := p.startedAt(name).Add(contactTime); at.After(inTouchFrom) {
			inTouchFrom = at
		}
	}
	counted := 0
	for _, a := range p.arrivals() {
		isCounted := len(crashes) >= crashesBefore && a.At.After(crashes[crashesBefore-1].Add(contactTime)) && a.At.After(inTouchFrom)
		if isCounted {
			counted++
		}
		p.rec.logAt(a.At, "run", fmt.Sprintf("%s reached an engine, counted=%v", a.ID, isCounted))
	}
	p.rec.say("%d crashes, %d arrivals of requests with the part, %d of them counted, at most %d may", len(crashes), len(p.arrivals()), counted, maxPartRequests)
	return counted > maxPartRequests
}

// runGroup sends requests with a part that crashes engines in groups of six, on a route whose
// streams may not be resumed, so that no request is repeated.
func runGroup(f *fleet, hasTrouble bool) (bool, error) {
	f.configure(2, false)
	const groups, perGroup = 5, 6
	return runParts(f, hasTrouble, fewSoundPerSecond, func(p *partFleet) error {
		for range groups {
			p.sendGroup(perGroup)
			time.Sleep(contactTime + time.Second)
		}
		return nil
	})
}

// runRestart sends requests with a part that crashes engines until they are refused, and goes on
// after all entries were killed.
func runRestart(f *fleet, hasTrouble bool) (bool, error) {
	const perGroup, singles = 3, 3
	return runParts(f, true, soundPerSecond, func(p *partFleet) error {
		p.sendGroup(perGroup)
		for range singles {
			time.Sleep(contactTime + time.Second)
			p.sendGroup(1)
		}
		if hasTrouble {
			p.rec.say("%d crashes before all entries are killed", len(p.crashes()))
			p.kill(p.running("entry-")...)
			time.Sleep(500 * time.Millisecond)
			for i := range machineEntries {
				if err := p.startEntry(i); err != nil {
					return err
				}
			}
		}
		time.Sleep(contactTime + time.Second)
		p.sendGroup(perGroup)
		for range singles {
			time.Sleep(contactTime + time.Second)
			p.sendGroup(1)
		}
		return nil
	})
}

// runParts runs a case beside sound traffic, and checks the rule at its end.
func runParts(f *fleet, hasTrouble bool, perSecond float64, play func(*partFleet) error) (broken bool, err error) {
	p, err := newPartFleet(f, hasTrouble)
	defer p.close()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	replies := p.client.traffic(machineEntries, perSecond, stop)
	time.Sleep(2 * time.Second)
	err = play(p)
	close(stop)
	served, all := 0, <-replies
	for _, r := range all {
		if r.isServed() {
			served++
		}
	}
	p.rec.say("%d of %d sound requests were served", served, len(all))
	if err != nil {
		return false, err
	}
	return p.check(), nil
}
