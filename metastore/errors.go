package metastore

import (
	"errors"
	"fmt"

	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var (
	// ErrUnavailable means that the platform did not answer and that the call
	// had no effect.
	ErrUnavailable = errors.New("platform unavailable, the call had no effect")
	// ErrUnknownOutcome means that the answer is missing and that the call may
	// have been applied.
	ErrUnknownOutcome = errors.New("no answer from the platform, the call may have been applied")
	// ErrRateLimited means that the platform refused the call for its rate and
	// did not apply it.
	ErrRateLimited = errors.New("rate limit of the platform reached, the call had no effect")
	// ErrRefused means that the platform refused the call for its content and
	// did not apply it.
	ErrRefused = errors.New("platform refused the call, it had no effect")
)

// callError adds the kind, the step and the peer to the cause.
func callError(kind error, step, peer string, cause error) error {
	return oops.In("platform").With("step", step, "peer", peer).Wrap(fmt.Errorf("%w: %w", kind, cause))
}

// classifyError classifies the error of a call. maySent tells that the request may
// have reached the platform, changes that it may have had an effect there.
//
// Unavailable is ambiguous: a server gives it before a call takes effect, and
// grpc gives it when a connection breaks in the middle of one.
func classifyError(err error, maySent, changes bool) error {
	switch status.Code(err) {
	case codes.ResourceExhausted:
		return ErrRateLimited
	case codes.InvalidArgument, codes.FailedPrecondition, codes.OutOfRange, codes.NotFound,
		codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return ErrRefused
	default:
		if maySent && changes {
			return ErrUnknownOutcome
		}
		return ErrUnavailable
	}
}
