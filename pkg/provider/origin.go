package provider

import (
	"context"
	"fmt"
)

// Origin holds the weights and their manifests.
type Origin interface {
	// Manifest returns the encoded manifest with the given digest.
	Manifest(ctx context.Context, digest string) ([]byte, error)
	// PutManifest stores an encoded manifest under its digest.
	PutManifest(ctx context.Context, digest string, data []byte) error
	// ReadAt fills buf with the bytes at offset of the weights named by digest.
	ReadAt(ctx context.Context, digest string, offset int64, buf []byte) error
	// PutWeights stores the whole weights of a version under its digest.
	PutWeights(ctx context.Context, digest string, data []byte) error
}

// UnavailableError tells that the platform refused or did not answer.
type UnavailableError struct {
	Operation string
	Status    int
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("platform unavailable: %s: %v", e.Operation, e.Cause)
	}
	return fmt.Sprintf("platform unavailable: %s: status %d", e.Operation, e.Status)
}

// Unwrap returns the transport's error, if any.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NotFoundError tells that the platform does not hold what was asked for.
type NotFoundError struct {
	Operation string
	Name      string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("platform: %s: %q not found", e.Operation, e.Name)
}
