package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// callTimeout is the deadline of the callers.
const callTimeout = 6 * time.Second

// client sends requests as the users' clients do, on a new connection each.
type client struct {
	fleet *fleet
	rec   *recorder
	next  atomic.Int64
}

type request struct {
	entry  int
	what   string
	prompt string
	// key is the API key; that of all requests if empty.
	key string
}

type reply struct {
	id     string
	sentAt time.Time
	status int
	// isWhole is set if the answer came to its end.
	isWhole bool
	hasBody bool
	err     error
}

func (r reply) isServed() bool {
	return r.err == nil && r.status == http.StatusOK && r.isWhole && r.hasBody
}

// soundPrompt returns the parts of a sound prompt: two that requests share, and one of its own.
func soundPrompt() string {
	return fmt.Sprintf("a1:40,d%d:300,f%x:300", rand.IntN(5), rand.Uint32())
}

// spoiltPrompt returns the parts of a prompt with the one that crashes engines.
func spoiltPrompt() string {
	return fmt.Sprintf("a1:40,%s:300,f%x:300", crashPart, rand.Uint32())
}

const (
	// crashPart is the part of prompts that crashes engines.
	crashPart = "bad1"
	// promptTokens and answerTokens are the sizes of requests.
	promptTokens, answerTokens = 640, 92
)

func (c *client) send(r request) (out reply) {
	out.id = fmt.Sprintf("%s-%d", r.what, c.next.Add(1))
	out.sentAt = time.Now()
	defer func() {
		c.rec.log("answer", fmt.Sprintf("%s entry-%d status=%d whole=%v after=%dms err=%v", out.id, r.entry, out.status, out.isWhole, time.Since(out.sentAt).Milliseconds(), out.err))
	}()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.fleet.callersAddress(r.entry)+"/draft/1", strings.NewReader(out.id))
	if err != nil {
		out.err = err
		return out
	}
	req.Host, req.Close = host, true
	for k, v := range map[string]string{
		"X-Request-Id": out.id, "X-Deadline-Ms": fmt.Sprint(callTimeout.Milliseconds()), "X-Model": model, "X-Api-Key": cmp.Or(r.key, key),
		"X-Token-Counts": fmt.Sprintf("%d,%d", promptTokens, answerTokens), "X-Prompt-Prefix": r.prompt,
	} {
		req.Header.Set(k, v)
	}
	c.rec.log("send", fmt.Sprintf("%s entry-%d prompt=%s", out.id, r.entry, r.prompt))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	out.err, out.isWhole, out.hasBody = err, err == nil, len(body) > 0
	return out
}

// traffic sends sound requests to n entries by turns until stop is closed, and returns the replies.
func (c *client) traffic(n int, perSecond float64, stop <-chan struct{}) <-chan []reply {
	result := make(chan []reply, 1)
	go func() {
		replies := make(chan reply, 100)
		var all []reply
		pending := 0
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-tick.C:
				pending++
				go func() { replies <- c.send(request{entry: i % n, what: "sound", prompt: soundPrompt()}) }()
			case r := <-replies:
				pending--
				all = append(all, r)
			case <-stop:
				for ; pending > 0; pending-- {
					all = append(all, <-replies)
				}
				result <- all
				return
			}
		}
	}()
	return result
}
