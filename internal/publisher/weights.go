package publisher

import (
	"context"

	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// PutVersion stores weights and their manifest, and returns the digest that a
// model record names.
func PutVersion(ctx context.Context, origin provider.Origin, model, version string, weights []byte, chunkBytes int) (digest string, err error) {
	m, err := chunker.NewManifest(model, version, weights, chunkBytes)
	if err != nil {
		return "", err
	}
	data, err := m.Encode()
	if err != nil {
		return "", err
	}
	digest = chunker.Digest(data)
	if err = origin.PutWeights(ctx, m.WeightsDigest, weights); err != nil {
		return "", err
	}
	return digest, origin.PutManifest(ctx, digest, data)
}
