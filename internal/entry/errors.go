package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// errorAnswer is the JSON body of an error.
type errorAnswer struct {
	Error struct {
		Kind         serving.Kind `json:"kind"`
		Message      string       `json:"message"`
		Remedy       string       `json:"remedy"`
		Ran          serving.Ran  `json:"ran"`
		RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
	} `json:"error"`
}

func errorBody(err error) errorAnswer {
	e := serving.AsError(err)
	var a errorAnswer
	a.Error.Kind = e.Kind
	a.Error.Message = e.Message
	if cause := e.Unwrap(); cause != nil && e.Kind == serving.KindInvalid {
		a.Error.Message = cause.Error() // The cause names the invalid part of the request.
	}
	a.Error.Remedy = e.Remedy
	a.Error.Ran = e.Ran
	a.Error.RetryAfterMS = e.RetryAfter.Milliseconds()
	return a
}

// kindStatus has the HTTP status of each kind of error. Kinds that are not listed have
// status 503.
var kindStatus = map[serving.Kind]int{
	serving.KindInvalid:          http.StatusBadRequest,
	serving.KindUnauthenticated:  http.StatusUnauthorized,
	serving.KindForbidden:        http.StatusForbidden,
	serving.KindNotFound:         http.StatusNotFound,
	serving.KindUnknownModel:     http.StatusNotFound,
	serving.KindTooLarge:         http.StatusRequestEntityTooLarge,
	serving.KindConflict:         http.StatusConflict,
	serving.KindKeyReused:        http.StatusUnprocessableEntity,
	serving.KindInProgress:       http.StatusConflict,
	serving.KindExpired:          http.StatusGone,
	serving.KindRateLimited:      http.StatusTooManyRequests,
	serving.KindResumeTokenWrong: http.StatusBadRequest,
	serving.KindSlowReader:       http.StatusRequestTimeout,
	serving.KindGenerationLost:   http.StatusBadGateway,
	serving.KindEngineFailed:     http.StatusBadGateway,
	serving.KindOutcomeUnknown:   http.StatusBadGateway,
	serving.KindDeadline:         http.StatusGatewayTimeout,
	serving.KindInternal:         http.StatusInternalServerError,
}

func writeError(w http.ResponseWriter, err error) {
	e := serving.AsError(err)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	status, ok := kindStatus[e.Kind]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, errorBody(e))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
