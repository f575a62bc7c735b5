package provider

import (
	"context"
	"fmt"
)

// Origin stores weights and their manifests.
type Origin interface {
	// Manifest returns the encoded manifest with the given digest.
	Manifest(ctx context.Context, digest string) ([]byte, error)
	// PutManifest stores an encoded manifest under its digest.
	PutManifest(ctx context.Context, digest string, data []byte) error
	// ReadAt fills buf with the bytes at offset of the weights with the given digest.
	ReadAt(ctx context.Context, digest string, offset int64, buf []byte) error
	// PutWeights stores the whole weights of a version under their digest.
	PutWeights(ctx context.Context, digest string, data []byte) error
}

// UnavailableError reports that the platform rejected a request or did not answer.
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

// Unwrap returns the transport error, if any.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NotFoundError reports that the platform does not have the requested object.
type NotFoundError struct {
	Operation string
	Name      string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("platform: %s: %q not found", e.Operation, e.Name)
}
