package forwarder

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"flamingoledge.org/flamingoledge/internal/exchanger"
)

const (
	// maxAnswerBytes bounds one answer. Usual ones have some KB.
	maxAnswerBytes = 4 << 20
	// freeAnswerBytes is the memory that each answer may use without a part of
	// maxLargeAnswersBytes, so that large answers do not affect usual ones.
	freeAnswerBytes = 64 << 10
	// maxLargeAnswersBytes bounds the memory of all answers beyond freeAnswerBytes each.
	maxLargeAnswersBytes = 32 << 20
	minAnswerBufferBytes = 4 << 10
)

// answerTooLarge reports that an answer has more than maxAnswerBytes.
func answerTooLarge() error {
	return &exchanger.InvalidResponseError{Cause: fmt.Errorf("the answer has more than %d bytes", maxAnswerBytes)}
}

// errNoAnswerMemory reports that the memory for large answers is in use. The endpoint is not
// at fault.
var errNoAnswerMemory = errors.New("no memory for a large answer")

// answerMemory bounds the memory of all large answers. It is safe for concurrent use.
type answerMemory struct{ used atomic.Int64 }

// take returns whether n bytes were free. It does not wait, as answers that are waiting for
// each other would hold their memory until their deadlines.
func (m *answerMemory) take(n int) bool {
	if m.used.Add(int64(n)) <= maxLargeAnswersBytes {
		return true
	}
	m.used.Add(int64(-n))
	return false
}

// bufferedBody is the body of an answer that is read completely before it is forwarded.
type bufferedBody struct {
	data []byte
	// taken is the part of the common memory that the body uses.
	taken int
}

// readAll reads r to its end. release has to be called, also after an error.
func (b *bufferedBody) readAll(r io.Reader, m *answerMemory) error {
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(m); err != nil {
				return err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (b *bufferedBody) grow(m *answerMemory) error {
	size := max(2*cap(b.data), minAnswerBufferBytes)
	if size > maxAnswerBytes {
		return answerTooLarge()
	}
	if more := size - freeAnswerBytes - b.taken; more > 0 {
		if !m.take(more) {
			return errNoAnswerMemory
		}
		b.taken += more
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return nil
}

// release returns the memory. Further calls have no effect.
func (b *bufferedBody) release(m *answerMemory) {
	m.used.Add(int64(-b.taken))
	b.data, b.taken = nil, 0
}
