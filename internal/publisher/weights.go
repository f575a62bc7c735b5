package publisher

import (
	"context"

	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// PutVersion uploads weights and their manifest to the origin, and returns the manifest
// digest, which a model record refers to as its version digest.
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
