package forwarder

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
)

// suspects is what a call may crash endpoints with.
type suspects struct {
	// keys are the keys of the whole request and of the shared parts of its prompt, in
	// this order.
	keys []quarantiner.Key
	// answerBegun is set if an endpoint went on after the beginning of its answer. What
	// crashes endpoints does so when they begin to answer, so nothing in the call does.
	answerBegun bool
	// trial is the key under which the call runs although it is convicted; 0 for none.
	trial quarantiner.Key
	// probed is closed once it is known whether the endpoint of the last attempt has
	// crashed; nil if it is not probed.
	probed <-chan struct{}
}

func newSuspects(c *call) suspects {
	keys := []quarantiner.Key{quarantiner.RequestKey(c.fingerprint)}
	for _, part := range c.PromptParts {
		keys = append(keys, quarantiner.PartKey(xxhash.Sum64String(c.service+"\x00"+part)))
	}
	return suspects{keys: keys}
}

// atCrash returns the keys that may have caused a crash during the call.
func (s *suspects) atCrash() []quarantiner.Key {
	if s.answerBegun {
		return nil
	}
	return s.keys
}

// checkConviction refuses a call that would crash an endpoint.
func (f *Forwarder) checkConviction(c *call) *Problem {
	v := f.cfg.Crashes.Judge(c.suspects.keys)
	switch {
	case v.Trial:
		c.suspects.trial = v.Key
		f.cfg.Metrics.Add("trials", 1)
		logger.Log(f.cfg.Logger, logger.TrialStarted, append(f.logFields(c), zap.Uint64("key", uint64(v.Key)))...)
	case v.Convicted && (c.suspects.trial == 0 || v.Key != c.suspects.trial || c.sendCount > 0):
		return notRun(CodeConvicted, v.RetryAfter, "endpoints crashed under requests with %s (key %d)", c.describeSuspect(v.Key), v.Key)
	}
	return nil
}

// describeSuspect names what a key of the call stands for.
func (c *call) describeSuspect(k quarantiner.Key) string {
	if i := slices.Index(c.suspects.keys, k); i > 0 {
		return "the prompt part " + c.PromptParts[i-1]
	}
	return "equal content"
}

// recordSoundAnswer records that an endpoint went on after the beginning of a call's
// answer.
func (f *Forwarder) recordSoundAnswer(c *call) {
	if c.suspects.answerBegun {
		return
	}
	c.suspects.answerBegun = true
	f.cfg.Crashes.RecordSoundRun(c.suspects.keys)
}

// mayRepeatAfterCrash reports whether a call without an answer may run at another
// endpoint. It waits until it is known whether the last one has crashed.
func (f *Forwarder) mayRepeatAfterCrash(c *call) bool {
	if c.suspects.probed == nil || c.suspects.answerBegun {
		return true
	}
	select {
	case <-c.suspects.probed:
		return f.cfg.Crashes.MayRepeat(c.suspects.keys)
	case <-c.ctx.Done():
		return false
	}
}

// probeForCrash checks in the background whether an endpoint crashed during a call, and
// records the crash.
func (f *Forwarder) probeForCrash(c *call, e balancer.Endpoint) {
	atCrash := c.suspects.atCrash()
	fields := []zap.Field{
		zap.String("endpoint", e.ID), zap.String("request_id", c.RequestID), zap.Uint64("fingerprint", c.fingerprint),
		zap.Strings("parts", c.PromptParts), zap.Bool("begun", c.suspects.answerBegun),
	}
	end := f.cfg.Crashes.StartProbe(e.ID, atCrash)
	probed := make(chan struct{})
	c.suspects.probed = probed
	go func() {
		defer close(probed)
		err := probe(e)
		switch {
		case err == nil:
			end(nil)
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			end(atCrash)
		default:
			// The instance may be cut off from this entry, with all of its requests. Their
			// parts would become suspect by the hundred.
			end(atCrash[:min(1, len(atCrash))])
		}
		logger.Log(f.cfg.Logger, logger.EndpointDied, append(fields, zap.NamedError("probe", err))...)
	}()
}

// crashProbeTimeout is well above the time to connect to any running instance.
const crashProbeTimeout = 200 * time.Millisecond

// probe returns nil if an endpoint accepts connections, as each one that runs does.
func probe(e balancer.Endpoint) error {
	conn, err := net.DialTimeout("tcp", e.Address, crashProbeTimeout)
	if err != nil {
		return err
	}
	_ = conn.Close()
	return nil
}
