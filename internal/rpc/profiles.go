package rpc

import (
	"net/http"
	"net/http/pprof"
)

// ProfilesPrefix is the path of the handler that Profiles returns.
const ProfilesPrefix = "/debug/pprof/"

// Profiles serves the profiles of the process to those who have the cluster key.
func Profiles(cluster KeyHash) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(ProfilesPrefix, pprof.Index)
	mux.HandleFunc(ProfilesPrefix+"profile", pprof.Profile)
	mux.HandleFunc(ProfilesPrefix+"symbol", pprof.Symbol)
	mux.HandleFunc(ProfilesPrefix+"trace", pprof.Trace)
	return RequireKey(cluster, mux)
}
