// Package chunker splits weights into content-addressed chunks and describes
// them by a manifest. A version is named by the digest of its manifest, so that
// no chunk of another version can ever be taken for one of its own.
package chunker

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

const (
	// MaxManifestBytes limits an encoded manifest.
	MaxManifestBytes = 64 << 20
	// MinChunkBytes is the smallest chunk size, but for the last chunk.
	MinChunkBytes = 1 << 10
	// MaxChunkBytes is the largest chunk size; it fits one wire message.
	MaxChunkBytes = 2 << 20
)

// ChunkDigest is the SHA-256 of one chunk.
type ChunkDigest [sha256.Size]byte

// MarshalText encodes the digest in hexadecimal.
func (d ChunkDigest) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(d[:])), nil
}

// UnmarshalText decodes a digest in hexadecimal.
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
	// WeightsDigest is the SHA-256 of the whole weights in hexadecimal. It is
	// what an endpoint reports for a loaded version.
	WeightsDigest string        `json:"weights_digest"`
	Chunks        []ChunkDigest `json:"chunks"`
}

// ManifestError tells which field of a manifest is wrong.
type ManifestError struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *ManifestError) Error() string { return fmt.Sprintf("manifest: %s: %s", e.Field, e.Problem) }

// NewManifest returns the manifest of weights.
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

// Encode returns the bytes that are stored and digested.
func (m Manifest) Encode() ([]byte, error) { return json.Marshal(m) }

// Digest returns the digest that names encoded manifest data.
func Digest(data []byte) string {
	d := sha256.Sum256(data)
	return hex.EncodeToString(d[:])
}

// ParseManifest decodes a manifest and checks it against the digest that the
// record in force names.
func ParseManifest(data []byte, digest string) (m Manifest, err error) {
	if len(data) > MaxManifestBytes {
		return Manifest{}, &ManifestError{Field: "manifest", Problem: "too large"}
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

func (m Manifest) validate() error {
	switch {
	case m.SizeBytes < 1:
		return &ManifestError{Field: "size_bytes", Problem: "must be positive"}
	case m.ChunkBytes < MinChunkBytes || m.ChunkBytes > MaxChunkBytes:
		return &ManifestError{Field: "chunk_bytes", Problem: fmt.Sprintf("must be %d to %d", MinChunkBytes, MaxChunkBytes)}
	case int64(len(m.Chunks)) != (m.SizeBytes+int64(m.ChunkBytes)-1)/int64(m.ChunkBytes):
		return &ManifestError{Field: "chunks", Problem: "their number does not match the size"}
	case len(m.WeightsDigest) != hex.EncodedLen(sha256.Size):
		return &ManifestError{Field: "weights_digest", Problem: "must be a SHA-256 in hexadecimal"}
	}
	return nil
}

// ChunkLen returns the size of chunk i in bytes.
func (m Manifest) ChunkLen(i int) int {
	if i == len(m.Chunks)-1 {
		return int(m.SizeBytes - int64(i)*int64(m.ChunkBytes))
	}
	return m.ChunkBytes
}

// ChunkOffset returns where chunk i starts in the weights.
func (m Manifest) ChunkOffset(i int) int64 { return int64(i) * int64(m.ChunkBytes) }

// ChunkError tells that bytes are not the intended chunk.
type ChunkError struct {
	Index int
	Got   ChunkDigest
	Want  ChunkDigest
}

// Error implements error.
func (e *ChunkError) Error() string {
	return fmt.Sprintf("chunk %d has digest %x, want %x", e.Index, e.Got, e.Want)
}

// Verify checks the bytes of chunk i.
func (m Manifest) Verify(i int, data []byte) error {
	if i < 0 || i >= len(m.Chunks) {
		return &ManifestError{Field: "chunks", Problem: fmt.Sprintf("no chunk %d", i)}
	}
	if got := ChunkDigest(sha256.Sum256(data)); got != m.Chunks[i] {
		return &ChunkError{Index: i, Got: got, Want: m.Chunks[i]}
	}
	return nil
}
