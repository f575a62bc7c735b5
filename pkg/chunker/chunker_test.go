package chunker_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"flamingoledge.org/flamingoledge/pkg/assembler"
	"flamingoledge.org/flamingoledge/pkg/chunker"
)

func TestChunksReassembleInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		weights := rapid.SliceOfN(rapid.Byte(), 1, 5000).Draw(t, "weights")
		m, err := chunker.NewManifest("m", "v", weights, chunker.MinChunkBytes)
		is.NoErr(err)
		data, err := m.Encode()
		is.NoErr(err)
		parsed, err := chunker.ParseManifest(data, chunker.Digest(data))
		is.NoErr(err)
		a := assembler.New(chunker.Digest(data), parsed)
		for _, i := range rapid.Permutation(indexes(len(m.Chunks))).Draw(t, "order") {
			is.True(!a.IsComplete())
			_, err = a.Put(i, weights[m.ChunkOffset(i):][:m.ChunkLen(i)])
			is.NoErr(err)
		}
		is.True(a.IsComplete())
		is.NoErr(a.VerifyWeights())
	})
}

func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func TestChunkOfAnotherVersionIsRejected(t *testing.T) {
	is := is.New(t)
	old, err := chunker.NewManifest("m", "v1", make([]byte, 4096), chunker.MinChunkBytes)
	is.NoErr(err)
	next := make([]byte, 4096)
	next[2000] = 1
	m, err := chunker.NewManifest("m", "v2", next, chunker.MinChunkBytes)
	is.NoErr(err)
	a := assembler.New("digest", m)
	_, err = a.Put(1, make([]byte, chunker.MinChunkBytes))
	var ce *chunker.ChunkError
	is.True(errors.As(err, &ce)) // the chunk differs between the versions
	is.Equal(a.HeldCount(), 0)
	before := assembler.New("old", old)
	for i := range old.Chunks {
		_, err = before.Put(i, make([]byte, chunker.MinChunkBytes))
		is.NoErr(err)
	}
	is.Equal(a.CopySharedChunks(before), 3) // unchanged chunks are reused
	is.True(a.VerifyWeights() != nil)
}

func TestManifestErrorField(t *testing.T) {
	valid := func() chunker.Manifest {
		m, err := chunker.NewManifest("m", "v", make([]byte, 3000), chunker.MinChunkBytes)
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	for name, tc := range map[string]struct {
		change func(*chunker.Manifest)
		field  string
	}{
		"no size":        {func(m *chunker.Manifest) { m.SizeBytes = 0 }, "size_bytes"},
		"small chunks":   {func(m *chunker.Manifest) { m.ChunkBytes = 1 }, "chunk_bytes"},
		"chunk missing":  {func(m *chunker.Manifest) { m.Chunks = m.Chunks[:1] }, "chunks"},
		"no digest":      {func(m *chunker.Manifest) { m.WeightsDigest = "" }, "weights_digest"},
		"negative bytes": {func(m *chunker.Manifest) { m.SizeBytes = -1 }, "size_bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := valid()
			tc.change(&m)
			data, err := m.Encode()
			is.NoErr(err)
			_, err = chunker.ParseManifest(data, chunker.Digest(data))
			var me *chunker.ManifestError
			is.True(errors.As(err, &me))
			is.Equal(me.Field, tc.field)
		})
	}
}

func FuzzParseManifest(f *testing.F) {
	m, err := chunker.NewManifest("m", "v", make([]byte, 3000), chunker.MinChunkBytes)
	if err != nil {
		f.Fatal(err)
	}
	data, err := m.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := chunker.ParseManifest(data, chunker.Digest(data))
		if err != nil {
			return
		}
		var total int64
		for i := range m.Chunks {
			total += int64(m.ChunkLen(i))
		}
		if total != m.SizeBytes {
			t.Fatalf("chunks have %d bytes in total, want size_bytes %d", total, m.SizeBytes)
		}
	})
}
