package entryserver

import (
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/messenger"
)

// repliesStream is the stream of an attempt with given replies.
type repliesStream struct {
	messenger.DRPCExecution_RunClient
	replies []*messenger.RunReply
}

func (s *repliesStream) Recv() (*messenger.RunReply, error) {
	if len(s.replies) == 0 {
		return nil, io.EOF
	}
	r := s.replies[0]
	s.replies = s.replies[1:]
	return r, nil
}

// TestStartedRequestIsNotRefused guards against "not run" for a request of which a sidecar has said that it
// has started, and against an answer without its end that counts as whole.
func TestStartedRequestIsNotRefused(t *testing.T) {
	started := &messenger.RunReply{Outcome: messenger.Outcome_OUTCOME_STARTED}
	refused := &messenger.RunReply{Outcome: messenger.Outcome_OUTCOME_NOT_RUN}
	data := &messenger.RunReply{Outcome: messenger.Outcome_OUTCOME_STARTED, Data: []byte("x")}
	tests := map[string]struct {
		replies []*messenger.RunReply
		want    messenger.Outcome
	}{
		"refused":                  {replies: []*messenger.RunReply{refused}, want: messenger.Outcome_OUTCOME_NOT_RUN},
		"started, then refused":    {replies: []*messenger.RunReply{started, refused}, want: messenger.Outcome_OUTCOME_UNKNOWN},
		"answered, then refused":   {replies: []*messenger.RunReply{data, refused}, want: messenger.Outcome_OUTCOME_UNKNOWN},
		"nothing":                  {want: messenger.Outcome_OUTCOME_UNKNOWN},
		"started, then ended":      {replies: []*messenger.RunReply{started}, want: messenger.Outcome_OUTCOME_UNKNOWN},
		"answered, then ended":     {replies: []*messenger.RunReply{data}, want: messenger.Outcome_OUTCOME_UNKNOWN},
		"reply without an outcome": {replies: []*messenger.RunReply{{}}, want: messenger.Outcome_OUTCOME_UNKNOWN},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := &attempt{stream: &repliesStream{replies: tc.replies}}
			var err error
			for err == nil {
				_, err = a.nextFrame()
			}
			var failure *attemptError
			is.True(errors.As(err, &failure))
			is.Equal(failure.outcome, tc.want)
		})
	}
}
