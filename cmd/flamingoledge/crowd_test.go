package main_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/caller"
	"flamingoledge.org/flamingoledge/internal/flooder"
)

var withCrowd = flag.Bool("crowd", false, "run the tests of crowds of callers, which must be alone on the machine")

// Limits of the entry under test and the sizes of the crowds that exceed them.
const (
	crowdMemoryMB       = 96
	crowdMaxDescriptors = 600
	crowdBodyBytes      = 1 << 20
	crowdHeadBytes      = 3 << 10
	// bodyCallers send bodies of crowdBodyBytes, which take more than the memory of the entry together.
	bodyCallers = 200
	// connCallers open more connections than the entry may have.
	connCallers = 900
	crowdSeed   = 57
	// hangTimeout bounds a process that hangs. It is longer than any machine takes.
	hangTimeout = 5 * time.Minute
	// crowdTime is how long a crowd goes on after all callers have sent their requests once.
	crowdTime = 2 * time.Second
	// maxRequests is how often the caller of an ordinary request sends it until it is served.
	maxRequests = 30
)

const crowdHead = "POST /v1/services/engine HTTP/1.1\r\nHost: h\r\nX-Workspace: market\r\nX-Deadline-Ms: 20000\r\nContent-Type: application/json\r\n"

// TestCrowd guards against entries that end, or serve nobody else, because callers send large bodies
// at the same time, stop before the end of a request or keep connections open.
func TestCrowd(t *testing.T) {
	if !*withCrowd {
		t.Skip("needs the machine for itself, see -crowd")
	}
	const usualBody = `{"prompt":"p","tokens":5}`
	sizes := flooder.Sizes{
		BodyCallers: bodyCallers, ConnCallers: connCallers, Head: crowdHead, BodyBytes: crowdBodyBytes, HeadBytes: crowdHeadBytes,
		Usual: flooder.Text(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", crowdHead, len(usualBody), usualBody)), Last: flooder.Silent(),
	}
	for name, cfg := range flooder.Crowds(sizes) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			c.entryLimits = fmt.Sprintf(`"memory_mb": %d, "max_descriptors": %d, "max_body_bytes": %d`, crowdMemoryMB, crowdMaxDescriptors, crowdBodyBytes)
			c.bootstrap()
			cfg.Address, cfg.Seed = c.entries[0], crowdSeed
			calls := caller.New(caller.Config{MaxConnections: 8})
			isServed := func() bool { return isAnswered(sendPrompt(calls, c.entries[0], 5)) }
			c.eventually("the entry serves", isServed)
			// A body of the largest size is served while there is no crowd.
			is.True(isAnswered(sendLargePrompt(calls, c.entries[0], crowdBodyBytes)))
			meter := flooder.StartMeter(c.procs["entry-1"].Process.Pid, portOf(t, c.entries[0]))
			crowd := flooder.Start(cfg)
			defer crowd.Close()
			allSent := crowd.AwaitSent(hangTimeout)
			time.Sleep(crowdTime)
			served := false
			for range maxRequests {
				if served = isServed(); served {
					break
				}
				time.Sleep(200 * time.Millisecond)
			}
			peak := meter.Stop()
			t.Logf("peak: %.1f MB, %d descriptors", float64(peak.MemoryBytes)/(1<<20), peak.Descriptors)
			is.True(allSent)
			is.True(served) // an ordinary request beside the crowd
			is.True(peak.MemoryBytes <= crowdMemoryMB<<20)
			is.True(peak.Descriptors <= crowdMaxDescriptors)
			for _, p := range c.procs {
				is.True(flooder.Measure(p.Process.Pid, 0).MemoryBytes > 0) // no process has ended
			}
		})
	}
}

// sendLargePrompt sends a prompt with a body of the given size.
func sendLargePrompt(c *caller.Caller, entry string, size int) (caller.Reply, error) {
	const start, end = `{"tokens":5,"prompt":"`, `"}`
	body := append([]byte(start), bytes.Repeat([]byte("p"), size-len(start)-len(end))...)
	return c.Do(context.Background(), caller.Request{EntryAddress: entry, Workspace: "market", Service: "engine", Deadline: 5 * time.Second, Body: append(body, end...)})
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return port
}
