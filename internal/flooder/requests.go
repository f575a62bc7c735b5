package flooder

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
)

// maxMissing is the largest number of bytes by which Pieces and Chunked stop short of the end.
const maxMissing = 900

// Whole returns a request with a complete body of the given size. head is a request line with header
// lines, without those about the body and without the empty line at the end.
func Whole(head string, size int) Request { return withLength(head, size, size) }

// Announced returns a request whose body is announced with size bytes, of which all but the last few
// are sent.
func Announced(head string, size, missing int) Request { return withLength(head, size, size-missing) }

func withLength(head string, announced, sent int) Request {
	body := zeros(sent)
	return func(w io.Writer, _ *rand.Rand) error {
		if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, announced); err != nil {
			return err
		}
		_, err := w.Write(body)
		return err
	}
}

// Pieces returns a request whose body comes in pieces of random sizes and stops short of its end.
func Pieces(head string, size, maxPiece int) Request {
	body := zeros(size)
	return func(w io.Writer, rng *rand.Rand) error {
		if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, size); err != nil {
			return err
		}
		for rest := body[:size-1-rng.IntN(maxMissing)]; len(rest) > 0; {
			n := min(1+rng.IntN(maxPiece), len(rest))
			if _, err := w.Write(rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
		}
		return nil
	}
}

// Chunked returns a request whose body of size bytes comes in chunks of up to maxChunk bytes and, if
// it is not whole, stops short of its end.
func Chunked(head string, size, maxChunk int, whole bool) Request {
	return func(w io.Writer, rng *rand.Rand) error {
		end := size
		if !whole {
			end -= 1 + rng.IntN(maxMissing)
		}
		if _, err := io.WriteString(w, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		var b bytes.Buffer
		for left := end; left > 0; {
			n := min(1+rng.IntN(maxChunk), left)
			fmt.Fprintf(&b, "%x\r\n", n)
			b.Write(zeros(n))
			b.WriteString("\r\n")
			left -= n
			if b.Len() < writeBytes && left > 0 {
				continue
			}
			if _, err := w.Write(b.Bytes()); err != nil {
				return err
			}
			b.Reset()
		}
		if !whole {
			return nil
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
}

// writeBytes is about how many bytes of small chunks are written at once.
const writeBytes = 64 << 10

// HalfHead returns a request that stops after about size bytes of its head.
func HalfHead(head string, size int) Request {
	return func(w io.Writer, _ *rand.Rand) error {
		_, err := w.Write(append([]byte(head+"X-Padding: "), bytes.Repeat([]byte("x"), max(size-len(head), 1))...))
		return err
	}
}

// Text returns a request that is given as it is.
func Text(text string) Request {
	return func(w io.Writer, _ *rand.Rand) error {
		_, err := io.WriteString(w, text)
		return err
	}
}

// AnyOf returns one of the given requests for each caller and attempt.
func AnyOf(requests ...Request) Request {
	return func(w io.Writer, rng *rand.Rand) error { return requests[rng.IntN(len(requests))](w, rng) }
}

// Silent returns a request of which nothing is sent.
func Silent() Request { return func(io.Writer, *rand.Rand) error { return nil } }

var zeroBytes = bytes.Repeat([]byte("0"), 1<<20)

// zeros returns n bytes, which must not be changed.
func zeros(n int) []byte {
	if n > len(zeroBytes) {
		return bytes.Repeat([]byte("0"), n)
	}
	return zeroBytes[:n]
}
