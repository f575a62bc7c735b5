package assembler_test

import (
	"bytes"
	"fmt"

	"flamingoledge.org/flamingoledge/pkg/assembler"
	"flamingoledge.org/flamingoledge/pkg/chunker"
)

// Chunks are verified, may be added in any order, and make up the weights.
func Example() {
	weights := bytes.Repeat([]byte("weights "), 512)
	m, err := chunker.NewManifest("notes", "v1", weights, chunker.MinChunkBytes)
	if err != nil {
		return
	}
	a := assembler.New("digest", m)
	for i := len(m.Chunks) - 1; i >= 0; i-- {
		chunk := weights[m.ChunkOffset(i):][:m.ChunkLen(i)]
		if _, err = a.Put(i, chunk); err != nil {
			return
		}
	}
	_, err = a.Put(0, []byte("something else"))
	fmt.Println(a.IsComplete(), a.VerifyWeights(), err != nil)
	// Output: true <nil> true
}
