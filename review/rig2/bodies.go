package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyClients is the number of clients that the balancer has connected to one entry: the 35
	// of a zone with one entry, in a burst of 1.7 times the traffic.
	bodyClients = 60
	// maxBodyBytes is the limit of the configuration, and usualBodyBytes the size of the sheet.
	maxBodyBytes   = 4_194_304
	usualBodyBytes = 670
	// clientBytesPerSecond is the share of each client of half of the entry's link of 1,000 Mbit/s.
	clientBytesPerSecond = 500e6 / 8 / bodyClients
	pieceBytes           = 64 << 10
	// memoryLimitMB is memory_mb of an entry.
	memoryLimitMB = 284
	// bodyEntries is the number of entries that get such bursts, one after the other, and maxEnds the
	// number of ends from which on a process counts for the rule Fault.
	bodyEntries, maxEnds = 2, 3
	// bodyRounds is how often the clients send their bodies, with roundPause between.
	bodyRounds = 3
	// soundClients is the number of clients of the entry with usual requests.
	soundClients = 24
	roundPause   = 6 * time.Second
)

// anonymousMB returns the memory that a process uses, without that of its files; 0 if unknown.
func anonymousMB(pid int) float64 {
	//nolint:gosec // The process is one that this program has started.
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return float64(kb) / 1024
		}
	}
	return 0
}

// limitMemory kills an entry that uses more than its memory, as the platform does, and starts it
// again. It returns the number of kills and the peak once stop is closed.
func (f *fleet) limitMemory(i int, stop <-chan struct{}) (kills int, peakMB float64, err error) {
	name := fmt.Sprintf("entry-%d", i)
	for {
		select {
		case <-stop:
			return kills, peakMB, nil
		case <-time.After(5 * time.Millisecond):
		}
		f.mu.Lock()
		p := f.processes[name]
		f.mu.Unlock()
		used := anonymousMB(p.cmd.Process.Pid)
		peakMB = max(peakMB, used)
		if used <= memoryLimitMB {
			continue
		}
		f.rec.say("%s uses %.0f MB of %d MB and is killed", name, used, memoryLimitMB)
		f.kill(name)
		kills++
		time.Sleep(300 * time.Millisecond)
		if err = f.startEntry(i); err != nil {
			return kills, peakMB, err
		}
	}
}

// keptClient sends requests on one connection.
type keptClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

// exchange sends a request and reads its answer. The status is 0 if there is none.
func (c *keptClient) exchange(id string, body []byte) (status int, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(callTimeout))
	head := fmt.Sprintf("POST /draft/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Model: %s\r\nX-Api-Key: %s\r\nX-Token-Counts: %d,%d\r\nX-Prompt-Prefix: %s\r\nContent-Length: %d\r\n\r\n",
		host, id, callTimeout.Milliseconds(), model, key, promptTokens, answerTokens, soundPrompt(), len(body))
	if _, err = io.WriteString(c.conn, head); err != nil {
		return 0, err
	}
	for rest := body; len(rest) > 0; {
		n := min(len(rest), pieceBytes)
		if _, err = c.conn.Write(rest[:n]); err != nil {
			return 0, err
		}
		rest = rest[n:]
		time.Sleep(time.Duration(float64(n) / clientBytesPerSecond * float64(time.Second)))
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// sendSound sends usual requests on kept connections until stop is closed, and counts those that
// were served.
func (f *fleet) sendSound(client int, stop <-chan struct{}, asked, served *atomic.Int64) {
	var k *keptClient
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if k == nil {
			//nolint:gosec // The address is a loopback address of the fleet.
			conn, err := net.Dial("tcp", f.callersAddress(client%bodyEntries))
			if err != nil {
				continue
			}
			k = &keptClient{conn: conn, reader: bufio.NewReader(conn)}
		}
		id := fmt.Sprintf("sound-%d-%d", client, n)
		asked.Add(1)
		status, err := k.exchange(id, bytes.Repeat([]byte("x"), usualBodyBytes))
		f.rec.log("answer", fmt.Sprintf("%s status=%d err=%v", id, status, err))
		if err == nil && status == http.StatusOK {
			served.Add(1)
		}
		if err != nil {
			_ = k.conn.Close()
			k = nil
		}
	}
}

// sendBody sends a request with a body on a connection of its own.
func (f *fleet) sendBody(entry int, id string, body []byte) {
	//nolint:gosec // The address is a loopback address of the fleet.
	conn, err := net.Dial("tcp", f.callersAddress(entry))
	if err != nil {
		f.rec.log("answer", id+" not connected: "+err.Error())
		return
	}
	defer func() { _ = conn.Close() }()
	f.rec.log("send", fmt.Sprintf("%s with %d bytes", id, len(body)))
	k := &keptClient{conn: conn, reader: bufio.NewReader(conn)}
	status, err := k.exchange(id, body)
	f.rec.log("answer", fmt.Sprintf("%s status=%d err=%v", id, status, err))
}

// runBodies lets the clients of two entries, by turns, send bodies of the largest size that the
// configuration allows, at the same time. It checks the rule Fault.
func runBodies(f *fleet, hasTrouble bool) (broken bool, err error) {
	c := &client{fleet: f, rec: f.rec}
	engines, err := startMachines(f, 1)
	defer func() { closeEngines(engines) }()
	if err != nil {
		return false, err
	}
	if err = f.awaitReady(c); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	size := usualBodyBytes
	if hasTrouble {
		size = maxBodyBytes
	}
	body := bytes.Repeat([]byte("x"), size)
	stop := make(chan struct{})
	type limited struct {
		kills int
		peak  float64
		err   error
	}
	results := make(chan limited, bodyEntries)
	for i := range bodyEntries {
		go func() {
			kills, peak, lerr := f.limitMemory(i, stop)
			results <- limited{kills, peak, lerr}
		}()
	}
	var asked, served atomic.Int64
	var sound sync.WaitGroup
	for i := range soundClients * bodyEntries {
		sound.Go(func() { f.sendSound(i, stop, &asked, &served) })
	}
	for round := range bodyRounds * bodyEntries {
		var bodies sync.WaitGroup
		for i := range bodyClients {
			bodies.Go(func() { f.sendBody(round%bodyEntries, fmt.Sprintf("body-%d-%d", round, i), body) })
		}
		bodies.Wait()
		time.Sleep(roundPause)
	}
	close(stop)
	sound.Wait()
	ended := 0
	for range bodyEntries {
		l := <-results
		if l.err != nil {
			return false, l.err
		}
		if l.kills >= maxEnds {
			ended++
		}
		f.rec.say("an entry: peak %.0f MB of %d MB, %d ends", l.peak, memoryLimitMB, l.kills)
	}
	f.rec.say("%d of %d usual requests were served", served.Load(), asked.Load())
	f.rec.say("%d of %d machines had %d ends by themselves or more, from 2 on the day counts 0", ended, machineEntries+machineEngines, maxEnds)
	return ended >= 2, nil
}
