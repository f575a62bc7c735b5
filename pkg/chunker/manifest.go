// Package chunker splits weights into content-addressed chunks that a manifest lists.
// A version is identified by the digest of its manifest. A chunk of another version is
// rejected unless its content is the same.
package chunker

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

const (
	// MaxManifestBytes is the maximum size of an encoded manifest.
	MaxManifestBytes = 64 << 20
	// MinChunkBytes is the smallest chunk size. The last chunk may be smaller.
	MinChunkBytes = 1 << 10
	// MaxChunkBytes is the largest chunk size. A chunk must fit in one message.
	MaxChunkBytes = 2 << 20
)

// ChunkDigest is the SHA-256 of one chunk.
type ChunkDigest [sha256.Size]byte

// MarshalText implements encoding.TextMarshaler. The text is hexadecimal.
func (d ChunkDigest) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(d[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler for hexadecimal text.
func (d *ChunkDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return &ManifestError{Field: "chunks", Problem: "a digest must have 64 hexadecimal digits"}
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Manifest describes the weights of one version. It is immutable.
type Manifest struct {
	Model      string `json:"model"`
	Version    string `json:"version"`
	SizeBytes  int64  `json:"size_bytes"`
	ChunkBytes int    `json:"chunk_bytes"`
	// WeightsDigest is the SHA-256 of the whole weights in hexadecimal, which an
	// endpoint reports for a loaded version.
	WeightsDigest string        `json:"weights_digest"`
	Chunks        []ChunkDigest `json:"chunks"`
}

// ManifestError reports an invalid field of a manifest.
type ManifestError struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *ManifestError) Error() string { return fmt.Sprintf("manifest: %s: %s", e.Field, e.Problem) }

// NewManifest returns the manifest of weights split into chunks of chunkBytes.
func NewManifest(model, version string, weights []byte, chunkBytes int) (m Manifest, err error) {
	whole := sha256.Sum256(weights)
	m = Manifest{
		Model:         model,
		Version:       version,
		SizeBytes:     int64(len(weights)),
		ChunkBytes:    chunkBytes,
		WeightsDigest: hex.EncodeToString(whole[:]),
	}
	for start := 0; start < len(weights) && chunkBytes > 0; start += chunkBytes {
		end := min(start+chunkBytes, len(weights))
		m.Chunks = append(m.Chunks, sha256.Sum256(weights[start:end]))
	}
	if err = m.validate(); err != nil {
		return Manifest{}, err
	}
	return m, nil
}

// Encode returns the encoded manifest, from which Digest computes the version's digest.
func (m Manifest) Encode() ([]byte, error) { return json.Marshal(m) }

// Digest returns the hexadecimal SHA-256 of an encoded manifest, which identifies the
// version.
func Digest(data []byte) string {
	d := sha256.Sum256(data)
	return hex.EncodeToString(d[:])
}

// ParseManifest decodes and validates a manifest whose encoding must have the given
// digest.
func ParseManifest(data []byte, digest string) (m Manifest, err error) {
	if len(data) > MaxManifestBytes {
		return Manifest{}, &ManifestError{Field: "manifest", Problem: "larger than 64 MiB"}
	}
	if got := Digest(data); got != digest {
		return Manifest{}, &ManifestError{Field: "digest", Problem: fmt.Sprintf("is %s, want %s", got, digest)}
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err = d.Decode(&m); err != nil {
		return Manifest{}, &ManifestError{Field: "manifest", Problem: err.Error()}
	}
	if err = m.validate(); err != nil {
		return Manifest{}, err
	}
	return m, nil
}

// validate returns a *ManifestError if the fields are not consistent.
func (m Manifest) validate() error {
	switch {
	case m.SizeBytes < 1:
		return &ManifestError{Field: "size_bytes", Problem: "must be positive"}
	case m.ChunkBytes < MinChunkBytes || m.ChunkBytes > MaxChunkBytes:
		return &ManifestError{Field: "chunk_bytes", Problem: fmt.Sprintf("must be %d to %d", MinChunkBytes, MaxChunkBytes)}
	case int64(len(m.Chunks)) != (m.SizeBytes+int64(m.ChunkBytes)-1)/int64(m.ChunkBytes):
		return &ManifestError{Field: "chunks", Problem: "the number of chunks does not match size_bytes and chunk_bytes"}
	case len(m.WeightsDigest) != hex.EncodedLen(sha256.Size):
		return &ManifestError{Field: "weights_digest", Problem: "must be a SHA-256 in hexadecimal"}
	}
	return nil
}

// ChunkLen returns the length of chunk i in bytes.
func (m Manifest) ChunkLen(i int) int {
	if i == len(m.Chunks)-1 {
		return int(m.SizeBytes - int64(i)*int64(m.ChunkBytes))
	}
	return m.ChunkBytes
}

// ChunkOffset returns the offset of chunk i in the weights, in bytes.
func (m Manifest) ChunkOffset(i int) int64 { return int64(i) * int64(m.ChunkBytes) }

// ChunkError reports that the digest of a chunk does not match the manifest.
type ChunkError struct {
	Index int
	Got   ChunkDigest
	Want  ChunkDigest
}

// Error implements error.
func (e *ChunkError) Error() string {
	return fmt.Sprintf("chunk %d has digest %x, want %x", e.Index, e.Got, e.Want)
}

// Verify returns an error if data is not chunk i of the manifest.
func (m Manifest) Verify(i int, data []byte) error {
	if i < 0 || i >= len(m.Chunks) {
		return &ManifestError{Field: "chunks", Problem: fmt.Sprintf("chunk %d does not exist", i)}
	}
	if got := ChunkDigest(sha256.Sum256(data)); got != m.Chunks[i] {
		return &ChunkError{Index: i, Got: got, Want: m.Chunks[i]}
	}
	return nil
}
