package entry

import (
	"context"
	"net/http"
	"strings"

	"turmericdrum.org/turmericdrum/internal/ingress"
)

const (
	// maxMessage bounds the body of a message between processes.
	maxMessage = 16 << 20
	// bodyFactor is what a byte of a body takes: the buffer in which it is received, the copy of
	// its handler, the decoded fields, the prompt, and the body for the engine.
	bodyFactor   = 6
	announcePath = "/v1/engines/announce"
	rpcPrefix    = "/twirp/"
)

// newListener returns the listener of the process, which bounds what clients may use.
func (e *Entry) newListener() *ingress.Listener {
	l := e.Settings.Limits.Listener("entry")
	l.Limits.HeaderTime, l.Limits.IdleTime, l.Limits.HeaderBytes = headerTimeout, idleTimeout, maxHeaderBytes
	l.Limits.BodyOf, l.Limits.BodyFactor = e.bodyLimit, bodyFactor
	l.Refuse = writeError
	return l
}

// unreadBody is the context key of requests whose body is not read, because their key is
// unknown or their path takes none.
type unreadBody struct{}

// markUnread decides which bodies are read, before any part of them is.
func (e *Entry) markUnread(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.takesBody(r) {
			r = r.WithContext(context.WithValue(r.Context(), unreadBody{}, true))
		}
		next.ServeHTTP(w, r)
	})
}

func isUnread(r *http.Request) bool { return r.Context().Value(unreadBody{}) != nil }

func (e *Entry) takesBody(r *http.Request) bool {
	switch path := r.URL.Path; {
	case path == announcePath, strings.HasPrefix(path, rpcPrefix):
		return e.hasClusterKey(r)
	case strings.HasPrefix(path, "/v1/"):
		_, err := e.authenticate(e.board.load(), r)
		return err == nil
	}
	return false
}

// bodyLimit returns the limit of the body of a request, 0 if the body is not read.
func (e *Entry) bodyLimit(r *http.Request) int64 {
	switch path := r.URL.Path; {
	case isUnread(r):
		return 0
	case path == announcePath:
		return maxAnnouncement
	case strings.HasPrefix(path, rpcPrefix):
		return maxMessage
	}
	return int64(e.Settings.Entry.MaxBody.Bytes)
}
