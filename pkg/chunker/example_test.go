package chunker_test

import (
	"fmt"

	"flamingoledge.org/flamingoledge/pkg/chunker"
)

// A manifest accepts only the chunks of its version.
func Example() {
	m, err := chunker.NewManifest("notes", "v1", make([]byte, 2500), chunker.MinChunkBytes)
	if err != nil {
		return
	}
	fmt.Println(len(m.Chunks), m.ChunkLen(0), m.ChunkLen(2))
	fmt.Println(m.Verify(0, make([]byte, 1024)), m.Verify(2, make([]byte, 1024)) != nil)
	// Output:
	// 3 1024 452
	// <nil> true
}
