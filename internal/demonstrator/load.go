package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"flamingoledge.org/flamingoledge/internal/caller"
	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

const (
	// loadCallers send one request after the other.
	loadCallers = 8
	// loadPause is the pause of a caller between requests.
	loadPause = 50 * time.Millisecond
	// loadAfter is how long requests go on after the last replica serves.
	loadAfter    = 2 * time.Second
	callDeadline = 5 * time.Second
	answerTokens = 12
	callerConns  = 64
)

// Tally counts what became of requests.
type Tally struct {
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	// Foreign counts answers that were not the caller's own, or not whole though
	// they were passed off as whole.
	Foreign int `json:"foreign"`
	// Orders counts the idempotency keys sent, each of them twice.
	Orders int `json:"orders"`
}

// load is the requests that flow while the model spreads.
type load struct {
	deployment *deployer.Deployment
	caller     *caller.Caller
	digest     string
	stop       context.CancelFunc
	wg         sync.WaitGroup

	mu    sync.Mutex
	tally Tally
}

func startLoad(ctx context.Context, d *deployer.Deployment, digest string) *load {
	ctx, stop := context.WithCancel(ctx)
	l := &load{deployment: d, caller: caller.New(caller.Config{MaxConnections: callerConns}), digest: digest, stop: stop}
	for i := range loadCallers {
		l.wg.Go(func() { l.run(ctx, i) })
	}
	return l
}

// finish lets the requests go on for a while and returns what became of all.
func (l *load) finish() Tally {
	time.Sleep(loadAfter)
	l.stop()
	l.wg.Wait()
	return l.tally
}

func (l *load) run(ctx context.Context, id int) {
	for n := 0; ctx.Err() == nil; n++ {
		s := l.deployment.Topology.Services[n%len(l.deployment.Topology.Services)]
		entry := l.deployment.Entries[(id+n)%len(l.deployment.Entries)].HTTPAddress
		if s.Kind == interpreter.ServiceKindModel {
			l.callModel(s, entry, id, n)
		} else {
			l.callTwice(s, entry, id, n)
		}
		select {
		case <-ctx.Done():
		case <-time.After(loadPause):
		}
	}
}

func (l *load) callModel(s deployer.Service, entry string, id, n int) {
	body, err := json.Marshal(emulator.Prompt{Prompt: fmt.Sprintf("summarise account %d of member %d", n, id), Tokens: answerTokens})
	if err != nil {
		return
	}
	reply, err := l.caller.Do(context.Background(), caller.Request{
		Entry: entry, Workspace: deployer.WorkspaceName(id), Service: s.Name, Deadline: callDeadline, Body: body,
	})
	own := err != nil || !reply.Whole || l.isOwnAnswer(reply, body)
	l.count(reply, own)
}

// isOwnAnswer compares a streamed answer with what the version it names answers
// to the body.
func (l *load) isOwnAnswer(reply caller.Reply, body []byte) bool {
	frames, ended := reply.Frames()
	if !ended || len(frames) != answerTokens || reply.VersionDigest != l.digest {
		return false
	}
	for i, f := range frames {
		if f.Text != emulator.Token(body, reply.VersionDigest, i) {
			return false
		}
	}
	return true
}

// callTwice sends an order and the same order again over another entry, as an
// impatient caller does.
func (l *load) callTwice(s deployer.Service, entry string, id, n int) {
	key := uuid.Must(uuid.NewV7()).String()
	body := fmt.Appendf(nil, `{"order":"%d-%d","pallets":1}`, id, n)
	other := l.deployment.Entries[(id+n+1)%len(l.deployment.Entries)].HTTPAddress
	var wg sync.WaitGroup
	for _, e := range []string{entry, other} {
		wg.Go(func() {
			reply, err := l.caller.Do(context.Background(), caller.Request{
				Entry: e, Workspace: deployer.WorkspaceName(id), Service: s.Name, IdempotencyKey: key, Deadline: callDeadline, Body: body,
			})
			l.count(reply, err != nil || !reply.Whole || isOwnCall(reply, body))
		})
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.Orders++
}

func isOwnCall(reply caller.Reply, body []byte) bool {
	var a emulator.CallAnswer
	return json.Unmarshal(reply.Body, &a) == nil && a.Echo == emulator.Echo(body) && a.Run == 1
}

func (l *load) count(reply caller.Reply, own bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !own:
		l.tally.Foreign++
	case reply.Outcome == entryserver.OutcomeAnswered && reply.Whole:
		l.tally.Answered++
	case reply.Outcome == entryserver.OutcomeNotRun:
		l.tally.Refused++
	default:
		l.tally.Unknown++
	}
}
