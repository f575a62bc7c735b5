// Package assembler collects the verified chunks of a version until all of them
// are present. Chunks are added only by Put, which verifies them.
package assembler

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"sync"

	"flamingoledge.org/flamingoledge/pkg/chunker"
)

// Assembly holds at most one copy of a version's weights. It is safe for concurrent
// use. The bytes of a chunk never change after Put.
type Assembly struct {
	versionDigest string
	manifest      chunker.Manifest

	mu     sync.RWMutex
	chunks [][]byte
	held   chunker.IndexSet
	count  int
}

// IncompleteError reports that an assembly is missing chunks.
type IncompleteError struct {
	VersionDigest string
	Missing       int
}

// Error implements error.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("version %s is missing %d chunks", e.VersionDigest, e.Missing)
}

// WeightsDigestError reports that the weights assembled from verified chunks don't
// have the manifest's digest.
type WeightsDigestError struct {
	VersionDigest string
	Got           string
	Want          string
}

// Error implements error.
func (e *WeightsDigestError) Error() string {
	return fmt.Sprintf("version %s: weights have digest %s, manifest has %s", e.VersionDigest, e.Got, e.Want)
}

// New returns an empty assembly of the version with the given digest.
func New(versionDigest string, m chunker.Manifest) *Assembly {
	return &Assembly{
		versionDigest: versionDigest,
		manifest:      m,
		chunks:        make([][]byte, len(m.Chunks)),
		held:          chunker.NewIndexSet(len(m.Chunks)),
	}
}

// VersionDigest returns the digest of the manifest, which identifies the version.
func (a *Assembly) VersionDigest() string { return a.versionDigest }

// Manifest returns the manifest of the version.
func (a *Assembly) Manifest() chunker.Manifest { return a.manifest }

// Put verifies and stores chunk i. The caller must not modify data afterwards. It
// returns false if the chunk was already present.
func (a *Assembly) Put(i int, data []byte) (bool, error) {
	if err := a.manifest.Verify(i, data); err != nil {
		return false, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.chunks[i] != nil {
		return false, nil
	}
	a.chunks[i] = data
	a.held.Add(i)
	a.count++
	return true, nil
}

// Chunk returns the bytes of chunk i, nil if it is not present.
func (a *Assembly) Chunk(i int) []byte {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if i < 0 || i >= len(a.chunks) {
		return nil
	}
	return a.chunks[i]
}

// HeldChunks returns a copy of the set of the chunks that are present.
func (a *Assembly) HeldChunks() chunker.IndexSet {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.held.Clone()
}

// HeldCount returns the number of chunks that are present.
func (a *Assembly) HeldCount() int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.count
}

// IsComplete reports whether all chunks are present.
func (a *Assembly) IsComplete() bool { return a.HeldCount() == len(a.manifest.Chunks) }

// CopySharedChunks adds the chunks that another version has in common with this one
// and returns their number.
func (a *Assembly) CopySharedChunks(other *Assembly) (reused int) {
	byDigest := make(map[chunker.ChunkDigest][]byte, len(other.chunks))
	for i, d := range other.manifest.Chunks {
		if data := other.Chunk(i); data != nil {
			byDigest[d] = data
		}
	}
	for i, d := range a.manifest.Chunks {
		data, ok := byDigest[d]
		if !ok {
			continue
		}
		if added, err := a.Put(i, data); err == nil && added {
			reused++
		}
	}
	return reused
}

// VerifyWeights verifies the digest of the complete weights.
func (a *Assembly) VerifyWeights() error {
	h := sha256.New()
	if _, err := a.WriteTo(h); err != nil {
		return err
	}
	if got := hex.EncodeToString(h.Sum(nil)); got != a.manifest.WeightsDigest {
		return &WeightsDigestError{VersionDigest: a.versionDigest, Got: got, Want: a.manifest.WeightsDigest}
	}
	return nil
}

// WriteTo writes the complete weights. It implements io.WriterTo.
func (a *Assembly) WriteTo(w io.Writer) (written int64, err error) {
	if missing := len(a.manifest.Chunks) - a.HeldCount(); missing > 0 {
		return 0, &IncompleteError{VersionDigest: a.versionDigest, Missing: missing}
	}
	for i := range a.manifest.Chunks {
		var n int
		if n, err = w.Write(a.Chunk(i)); err != nil {
			return written, err
		}
		written += int64(n)
	}
	return written, nil
}
