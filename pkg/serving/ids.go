package serving

import "strings"

// Canonical ids. Names in other naming schemes are resolved to these ids when a request
// or configuration is received.
type (
	// HostID names a host.
	HostID string
	// EngineID names an engine that generates tokens or answers calls of a service.
	EngineID string
	// DataCentreID names a data centre.
	DataCentreID string
	// RegionID names a region.
	RegionID string
	// ClientAccountID names a client account.
	ClientAccountID string
	// ServiceID names a service.
	ServiceID string
	// ModelID names a model.
	ModelID string
	// Version names a version of a model.
	Version string
	// RequestID identifies one caller's request.
	RequestID string
	// GenerationID identifies one run of a request on one engine.
	GenerationID string
	// SlotID identifies a slot, which permits one generation at a time on one engine.
	SlotID string
)

// Incarnation identifies one start of a process; a later start has a larger value.
type Incarnation uint64

// Revision is the sequence number of an accepted configuration change.
type Revision uint64

// ReplicaID identifies a replica of the replicated log by its host and by a string that
// was assigned when its data folder was created. The string distinguishes the replica
// from earlier ones on the same host; it is not related to the type [Incarnation].
type ReplicaID struct {
	Host        HostID
	Incarnation string
}

// String returns the id in the form host/incarnation, or an empty string for the zero
// value.
func (r ReplicaID) String() string {
	if r == (ReplicaID{}) {
		return ""
	}
	return string(r.Host) + "/" + r.Incarnation
}

// ParseReplicaID parses the form host/incarnation.
func ParseReplicaID(s string) (ReplicaID, error) {
	host, incarnation, ok := strings.Cut(s, "/")
	if !ok || host == "" || incarnation == "" {
		return ReplicaID{}, NewError(KindInvalid, "replica id "+s+" is not of the form host/incarnation")
	}
	return ReplicaID{Host: HostID(host), Incarnation: incarnation}, nil
}
