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
	// loadCallers is the number of concurrent callers, each of which sends requests
	// sequentially.
	loadCallers = 8
	// loadPause is the time that a caller waits between requests.
	loadPause = 50 * time.Millisecond
	// loadTail is how long requests continue after all replicas serve.
	loadTail       = 2 * time.Second
	callDeadline   = 5 * time.Second
	responseTokens = 12
	maxCallerConns = 64
)

// RequestCounts counts requests by outcome.
type RequestCounts struct {
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	// Foreign counts responses that belong to another request, or that are incomplete
	// but were reported as complete.
	Foreign int `json:"foreign"`
	// Orders counts the idempotency keys, each of which was sent twice.
	Orders int `json:"orders"`
}

// load sends requests while the model is distributed.
type load struct {
	deployment *deployer.Deployment
	caller     *caller.Caller
	// digest is the digest of the deployed version.
	digest string
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	counts RequestCounts
}

func startLoad(ctx context.Context, d *deployer.Deployment, digest string) *load {
	ctx, stop := context.WithCancel(ctx)
	l := &load{deployment: d, caller: caller.New(caller.Config{MaxConnections: maxCallerConns}), digest: digest, stop: stop}
	for i := range loadCallers {
		l.wg.Go(func() { l.run(ctx, i) })
	}
	return l
}

// finish continues for loadTail, stops the callers and returns the counts.
func (l *load) finish() RequestCounts {
	time.Sleep(loadTail)
	l.stop()
	l.wg.Wait()
	return l.counts
}

func (l *load) run(ctx context.Context, id int) {
	for n := 0; ctx.Err() == nil; n++ {
		s := l.deployment.Topology.Services[n%len(l.deployment.Topology.Services)]
		entry := l.deployment.Entries[(id+n)%len(l.deployment.Entries)].HTTPAddress
		if s.Kind == interpreter.ServiceKindModel {
			l.callModel(s, entry, id, n)
		} else {
			l.sendDuplicateOrder(s, entry, id, n)
		}
		select {
		case <-ctx.Done():
		case <-time.After(loadPause):
		}
	}
}

func (l *load) callModel(s deployer.Service, entry string, id, n int) {
	body, err := json.Marshal(emulator.Prompt{Prompt: fmt.Sprintf("summarise account %d of member %d", n, id), Tokens: responseTokens})
	if err != nil {
		return
	}
	reply, err := l.caller.Do(context.Background(), caller.Request{
		EntryAddress: entry, Workspace: deployer.WorkspaceName(id), Service: s.Name, Deadline: callDeadline, Body: body,
	})
	correct := err != nil || !reply.Complete || l.isExpectedResponse(reply, body)
	l.count(reply, correct)
}

// isExpectedResponse reports whether a streamed response is complete and is the output of
// the deployed version for the body.
func (l *load) isExpectedResponse(reply caller.Reply, body []byte) bool {
	frames, ended := reply.Frames()
	if !ended || len(frames) != responseTokens || reply.VersionDigest != l.digest {
		return false
	}
	for i, f := range frames {
		if f.Text != emulator.Token(body, reply.VersionDigest, i) {
			return false
		}
	}
	return true
}

// sendDuplicateOrder sends the same order to two entries concurrently, like a caller that
// retries before it has received a response.
func (l *load) sendDuplicateOrder(s deployer.Service, entry string, id, n int) {
	key := uuid.Must(uuid.NewV7()).String()
	body := fmt.Appendf(nil, `{"order":"%d-%d","pallets":1}`, id, n)
	other := l.deployment.Entries[(id+n+1)%len(l.deployment.Entries)].HTTPAddress
	var wg sync.WaitGroup
	for _, e := range []string{entry, other} {
		wg.Go(func() {
			reply, err := l.caller.Do(context.Background(), caller.Request{
				EntryAddress: e, Workspace: deployer.WorkspaceName(id), Service: s.Name, IdempotencyKey: key, Deadline: callDeadline, Body: body,
			})
			l.count(reply, err != nil || !reply.Complete || isExpectedCallResponse(reply, body))
		})
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Orders++
}

// isExpectedCallResponse reports whether a plain service ran the body exactly once.
func isExpectedCallResponse(reply caller.Reply, body []byte) bool {
	var a emulator.CallResponse
	return json.Unmarshal(reply.Body, &a) == nil && a.Echo == emulator.Echo(body) && a.Run == 1
}

func (l *load) count(reply caller.Reply, correct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !correct:
		l.counts.Foreign++
	case reply.Outcome == entryserver.OutcomeAnswered && reply.Complete:
		l.counts.Answered++
	case reply.Outcome == entryserver.OutcomeNotRun:
		l.counts.Refused++
	default:
		l.counts.Unknown++
	}
}
