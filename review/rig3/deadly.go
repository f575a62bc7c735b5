package rig3

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/platform/standin"
)

const (
	// deadlyPart is the part of a prompt that crashes runners, and promptParts the number of parts of
	// each prompt, the last of which is that of the request.
	deadlyPart  = "dead50f7"
	promptParts = 40
	// restartAfter is how long a runner is away after a crash.
	restartAfter = 3 * time.Second
	// crashesBefore is the number of crashes after which users count, and MaxLate how many requests may
	// reach runners after that.
	crashesBefore = 5
	// MaxLate is how many requests with the part may reach runners later than ContactTime after that.
	MaxLate = 3
)

// Deadly are runners that a part of a prompt crashes, with what the clients have sent.
type Deadly struct {
	// Position is where the part stands in its prompts, from 0.
	Position int
	record   *Record
	system   *System
	runners  []*standin.Supervisor
	beganAt  time.Time

	mu  sync.Mutex
	bad []Answer
}

// SoundPrompt returns the parts of a sound prompt with a number for its own one.
func SoundPrompt(number string) string { return prompt(-1, "a"+number) }

func prompt(position int, own string) string {
	var list []string
	for i := range promptParts - 1 {
		id := fmt.Sprintf("5c1e%04x", i)
		if i == position {
			id = deadlyPart
		}
		list = append(list, id+":14")
	}
	return strings.Join(append(list, own+":50"), ",")
}

// StartDeadly starts n runners that start again after a crash, without layers, and their sidecars. The
// part crashes nothing unless isDeadly is set.
func (s *System) StartDeadly(r *Record, n, position int, isDeadly bool) (*Deadly, error) {
	d := &Deadly{Position: position, record: r, system: s}
	if err := d.Add(n, isDeadly); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// Add starts n more runners, of the service of the system, and their sidecars.
func (d *Deadly) Add(n int, isDeadly bool) error {
	s := d.system
	var parts []string
	if isDeadly {
		parts = []string{deadlyPart}
	}
	for i := len(d.runners); n > 0; n-- {
		v, err := standin.NewSupervisor(standin.SupervisorConfig{
			Engine: standin.EngineConfig{
				ID: fmt.Sprintf("i-%d", i), Service: s.service(), Zone: "z", Address: s.EngineAddress(i), Store: s.Store, Weights: s.Weights, Spec: Spec, Version: 1,
			},
			CrashParts: parts, RestartAfter: restartAfter,
		})
		if err != nil {
			return err
		}
		d.runners = append(d.runners, v)
		if err = s.StartSidecar(i); err != nil {
			return err
		}
		i++
	}
	return nil
}

// Close ends the runners.
func (d *Deadly) Close() {
	for _, v := range d.runners {
		v.Close()
	}
}

// Send sends requests with the part to the entries in turn, no two alike, one each pause.
func (d *Deadly) Send(entries int, pause, during time.Duration) {
	d.beganAt = time.Now()
	d.record.Printf("requests with part %d of %d, which crashes runners, begin", d.Position+1, promptParts)
	var wg sync.WaitGroup
	for i := 0; time.Since(d.beganAt) < during; i++ {
		wg.Go(func() {
			a := d.system.StreamWithPrompt(i%entries, prompt(d.Position, fmt.Sprintf("b%x", i)))
			d.record.Printf("%s with the part, sent after %.1f s: %v", a.ID, a.SentAt.Sub(d.beganAt).Seconds(), a)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.bad = append(d.bad, a)
		})
		time.Sleep(pause)
	}
	wg.Wait()
}

// Judge counts the requests with the part that have reached runners although those were to get no more.
// inTouch reports whether the entries were in touch at a time.
func (d *Deadly) Judge(answers []Answer, inTouch func(time.Time) bool) int {
	servedBefore, sentBefore := Served(answers, time.Time{}, d.beganAt)
	served, sent := Served(answers, d.beganAt, time.Now())
	d.record.Printf("sound requests: %d of %d served before, %d of %d after", servedBefore, sentBefore, served, sent)
	crashes, arrivals := d.observed()
	for i, at := range crashes {
		d.record.Printf("crash %d after %.1f s", i+1, at.Sub(d.beganAt).Seconds())
	}
	late := 0
	for _, at := range arrivals {
		// A request that an entry has sent before arrives within milliseconds.
		if len(crashes) >= crashesBefore && at.After(crashes[crashesBefore-1].Add(ContactTime+100*time.Millisecond)) && inTouch(at) {
			late++
			d.record.Printf("a request with the part reached a runner after %.1f s", at.Sub(d.beganAt).Seconds())
		}
	}
	d.record.Printf("%d requests with the part reached runners, %d crashes, %d requests from entries in touch later than %v after the fifth", len(arrivals), len(crashes), late, ContactTime)
	switch {
	case len(arrivals) == 0 || 2*servedBefore < sentBefore:
		return NotRun
	case late > MaxLate:
		return Broken
	default:
		return Held
	}
}

// observed returns when the part has crashed runners, and when requests with it have reached them.
func (d *Deadly) observed() (crashes, arrivals []time.Time) {
	isBad := map[string]bool{}
	for _, a := range d.bad {
		isBad[a.ID] = true
	}
	for _, v := range d.runners {
		for _, e := range v.Engines() {
			for _, c := range e.Crashes() {
				crashes = append(crashes, c.At)
			}
			for _, a := range e.Arrivals() {
				if isBad[a.ID] {
					arrivals = append(arrivals, a.At)
				}
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	slices.SortFunc(arrivals, time.Time.Compare)
	return crashes, arrivals
}
