package rpc

import (
	"net/http"
	"net/http/pprof"
)

// ProfilesPrefix is the path prefix that the handler returned by Profiles serves.
const ProfilesPrefix = "/debug/pprof/"

// Profiles returns a handler that serves runtime profiles of the process to callers
// with the cluster key.
func Profiles(cluster KeyHash) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(ProfilesPrefix, pprof.Index)
	mux.HandleFunc(ProfilesPrefix+"profile", pprof.Profile)
	mux.HandleFunc(ProfilesPrefix+"symbol", pprof.Symbol)
	mux.HandleFunc(ProfilesPrefix+"trace", pprof.Trace)
	return RequireKey(cluster, mux)
}
