// Command 11 is the script of case 11 of the review: a part behind the 32nd of a prompt crashes runners.
package main

import (
	"context"
	"os"
	"strconv"
	"time"

	"flamingoledge.org/flamingoledge/review/rig3"
)

const (
	entries, engines = 3, 8
	soundPerSecond   = 12
	pause            = 700 * time.Millisecond
	before           = 5 * time.Second
	during           = 40 * time.Second
)

func main() { rig3.Main(run) }

// position is where the part stands in its prompts, from 0: behind the first 32 unless POSITION says
// otherwise.
func position() int {
	if p, err := strconv.Atoi(os.Getenv("POSITION")); err == nil {
		return p
	}
	return 35
}

func run(r *rig3.Record) (int, error) {
	s, err := rig3.NewSystem(r, 1)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	s.Configure(1)
	s.Store.NameVersion("m0", 1)
	if err = s.StartEntries(entries); err != nil {
		return 0, err
	}
	d, err := s.StartDeadly(r, engines, position(), rig3.HasTrouble())
	if err != nil {
		return 0, err
	}
	defer d.Close()
	if err = s.AwaitServing(entries, 20*time.Second); err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s.Prompt = rig3.SoundPrompt
	sound := make(chan []rig3.Answer)
	go func() { sound <- s.Traffic(ctx, entries, soundPerSecond) }()
	time.Sleep(before)
	d.Send(entries, pause, during)
	stop()
	return d.Judge(<-sound, func(time.Time) bool { return true }), nil
}
