package serving

import "strings"

// Canonical ids. A name of a naming scheme is resolved to one of these at the
// boundary of the system.
type (
	// HostID names a host.
	HostID string
	// EngineID names an engine, whether it generates tokens or is a plain service.
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
	// SlotID identifies the right to run one generation on one engine.
	SlotID string
)

// Incarnation counts the starts of one process; it only grows.
type Incarnation uint64

// Revision numbers the accepted changes of the configuration.
type Revision uint64

// ReplicaID is the identity of a replica of the log: its host and the
// incarnation that was created with its data folder.
type ReplicaID struct {
	Host        HostID
	Incarnation string
}

// String returns the identity in the form host/incarnation.
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
