package rpc

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Metadata keys of a twirp error.
const (
	metaKind       = "kind"
	metaRan        = "ran"
	metaRetryAfter = "retry_after_ms"
	metaDetail     = "detail"
	metaRemedy     = "remedy"
	metaLeader     = "leader"
)

var codes = map[serving.Kind]twirp.ErrorCode{
	serving.KindInvalid:         twirp.InvalidArgument,
	serving.KindUnauthenticated: twirp.Unauthenticated,
	serving.KindForbidden:       twirp.PermissionDenied,
	serving.KindNotFound:        twirp.NotFound,
	serving.KindUnknownModel:    twirp.NotFound,
	serving.KindTooLarge:        twirp.InvalidArgument,
	serving.KindConflict:        twirp.Aborted,
	serving.KindCommandIDReused: twirp.AlreadyExists,
	serving.KindAmbiguousName:   twirp.AlreadyExists,
	serving.KindExpired:         twirp.FailedPrecondition,
	serving.KindNotLeader:       twirp.FailedPrecondition,
	serving.KindNoQuorum:        twirp.Unavailable,
	serving.KindViewExpired:     twirp.Unavailable,
	serving.KindDraining:        twirp.Unavailable,
	serving.KindOverloaded:      twirp.ResourceExhausted,
	serving.KindRateLimited:     twirp.ResourceExhausted,
	serving.KindDeadline:        twirp.DeadlineExceeded,
	serving.KindOutcomeUnknown:  twirp.Unavailable,
}

// ToTwirp converts an error to a twirp error, the form in which it is sent to
// another process.
func ToTwirp(err error) error {
	if err == nil {
		return nil
	}
	var te twirp.Error
	if errors.As(err, &te) {
		return te
	}
	e := serving.AsError(err)
	code, ok := codes[e.Kind]
	if !ok {
		code = twirp.Internal
	}
	te = twirp.NewError(code, e.Message).
		WithMeta(metaKind, string(e.Kind)).
		WithMeta(metaRan, string(e.Ran)).
		WithMeta(metaRemedy, e.Remedy)
	if e.RetryAfter > 0 {
		te = te.WithMeta(metaRetryAfter, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	if e.Detail != "" {
		te = te.WithMeta(metaDetail, e.Detail)
	}
	if e.Kind == serving.KindNotLeader {
		te = te.WithMeta(metaLeader, e.Detail)
	}
	return te
}

// FromTwirp converts the error of a failed call to a typed error. If it has no
// kind, as after a broken connection, it is unknown whether the call ran.
func FromTwirp(err error) error {
	if err == nil {
		return nil
	}
	var te twirp.Error
	if !errors.As(err, &te) || te.Meta(metaKind) == "" {
		return serving.WrapError(err, untypedKind(err, te), "call failed").WithRan(serving.RanUnknown)
	}
	e := serving.NewError(serving.Kind(te.Meta(metaKind)), te.Msg())
	if r := te.Meta(metaRemedy); r != "" {
		e.Remedy = r
	}
	// Without a valid value of metaRan it is unknown whether the call ran.
	e.Ran = serving.RanUnknown
	if r := serving.Ran(te.Meta(metaRan)); r == serving.NotRun || r == serving.DidRun {
		e.Ran = r
	}
	if ms, err := strconv.ParseInt(te.Meta(metaRetryAfter), 10, 64); err == nil && ms > 0 {
		e.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	e.Detail = te.Meta(metaDetail)
	if e.Kind == serving.KindNotLeader {
		e.Detail = te.Meta(metaLeader)
	}
	return e
}

func untypedKind(err error, te twirp.Error) serving.Kind {
	if te != nil {
		switch te.Code() {
		case twirp.Malformed, twirp.InvalidArgument, twirp.BadRoute:
			return serving.KindInvalid
		}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return serving.KindDeadline
	}
	return serving.KindOutcomeUnknown
}

// MapErrors is a server interceptor that converts typed errors to twirp errors.
func MapErrors(next twirp.Method) twirp.Method {
	return func(ctx context.Context, req any) (any, error) {
		res, err := next(ctx, req)
		return res, ToTwirp(err)
	}
}
