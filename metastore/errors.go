package metastore

import (
	"errors"
	"fmt"

	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var (
	// ErrUnavailable means that the platform did not respond and that the call had
	// no effect.
	ErrUnavailable = errors.New("platform unavailable, the call had no effect")
	// ErrUnknownOutcome means that the platform did not respond but may have applied
	// the call.
	ErrUnknownOutcome = errors.New("no answer from the platform, the call may have been applied")
	// ErrRateLimited means that the call exceeded the platform's rate limit and had
	// no effect.
	ErrRateLimited = errors.New("rate limit of the platform reached, the call had no effect")
	// ErrRefused means that the platform rejected the request as invalid or not
	// permitted and that the call had no effect.
	ErrRefused = errors.New("platform refused the call, it had no effect")
)

// callError wraps the cause with its kind (one of the errors above), the step and the
// peer.
func callError(kind error, step, peer string, cause error) error {
	return oops.In("platform").With("step", step, "peer", peer).Wrap(fmt.Errorf("%w: %w", kind, cause))
}

// classifyError returns the kind of a call's error. sent is set if the request may have
// reached the platform, mutates if the call changes the platform's state.
//
// codes.Unavailable alone is ambiguous: a server returns it for a call that it did not
// apply, and gRPC returns it if a connection breaks during a call.
func classifyError(err error, sent, mutates bool) error {
	switch status.Code(err) {
	case codes.ResourceExhausted:
		return ErrRateLimited
	case codes.InvalidArgument, codes.FailedPrecondition, codes.OutOfRange, codes.NotFound,
		codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return ErrRefused
	default:
		if sent && mutates {
			return ErrUnknownOutcome
		}
		return ErrUnavailable
	}
}
