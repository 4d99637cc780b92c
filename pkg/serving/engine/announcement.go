package engine

import (
	"encoding/json"
	"net"
	"reflect"
	"strconv"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Kind distinguishes engines that run models from engines that answer calls of a
// service.
type Kind string

// Kinds of engines.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Phase is the lifecycle state that an engine announces.
type Phase string

// Phases of an engine.
const (
	PhaseStarting Phase = "starting"
	PhaseReady    Phase = "ready"
	PhaseLeaving  Phase = "leaving"
)

// Announcement is the message, in JSON, with which an engine reports its properties and
// state to an entry.
type Announcement struct {
	Engine      serving.EngineID     `json:"engine"`
	Host        serving.HostID       `json:"host"`
	Address     string               `json:"address"`
	DataCentre  serving.DataCentreID `json:"data_centre"`
	Incarnation serving.Incarnation  `json:"incarnation"`
	// Seq grows with each announcement of an incarnation. If it is 0, as_of_ms of the
	// load orders the announcements.
	Seq uint64 `json:"seq,omitempty"`
	// UptimeMS is how long the incarnation has run, in milliseconds; 0 means unknown.
	UptimeMS int64               `json:"uptime_ms,omitempty"`
	Kind     Kind                `json:"kind"`
	Services []serving.ServiceID `json:"services,omitempty"`
	Models   []ModelRef          `json:"models"`
	// Role is, for example, prefill or decode.
	Role     string           `json:"role"`
	State    Phase            `json:"state"`
	Capacity serving.Capacity `json:"capacity"`
	Load     serving.Load     `json:"load"`
	// ChecksFencing states whether the engine rejects orders of the control plane that
	// have an outdated fencing number: "yes", "no" or "unknown", which counts as no.
	ChecksFencing string       `json:"checks_fencing"`
	CacheEvents   []CacheEvent `json:"cache_events,omitempty"`
}

// ModelRef names a model at a version.
type ModelRef struct {
	Model   serving.ModelID `json:"model"`
	Version serving.Version `json:"version"`
}

// CacheEvent reports that a prompt prefix was added to or evicted from an engine's
// prefix cache, or that the cache was cleared.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Op is "add", "evict" or "clear".
	Op string `json:"op"`
	// Prefix is the hash of the prefix in hexadecimal.
	Prefix string `json:"prefix"`
}

// Reply is the answer to an announcement.
type Reply struct {
	// Entries are addresses of entries that accept announcements.
	Entries []string `json:"entries"`
	// Owner is the address of the entry that is to receive further announcements.
	Owner string `json:"owner,omitempty"`
}

// DecodeAnnouncement decodes an announcement and checks that the required fields
// are set.
func DecodeAnnouncement(b []byte) (*Announcement, error) {
	var a Announcement
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, serving.WrapError(err, serving.KindInvalid, "decode announcement")
	}
	if a.Engine == "" || a.Address == "" || a.DataCentre == "" {
		return nil, serving.NewError(serving.KindInvalid, "an announcement needs engine, address and data_centre")
	}
	if err := a.checkValues(); err != nil {
		return nil, err
	}
	return &a, nil
}

// checkValues returns an error if a value can't be that of a running engine.
func (a *Announcement) checkValues() error {
	_, port, err := net.SplitHostPort(a.Address)
	if err != nil {
		return serving.WrapError(err, serving.KindInvalid, "the announcement's address")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return serving.NewError(serving.KindInvalid, "the port of the announcement's address "+a.Address+" is not from 1 to 65535")
	}
	return nil
}

// HasModel reports whether the engine has announced a model at any version.
func (a *Announcement) HasModel(m serving.ModelID) bool {
	for _, ref := range a.Models {
		if ref.Model == m {
			return true
		}
	}
	return false
}

// Serves reports whether the engine has announced a service.
func (a *Announcement) Serves(s serving.ServiceID) bool {
	for _, id := range a.Services {
		if id == s {
			return true
		}
	}
	return false
}

// version orders the announcements of one incarnation.
func (a *Announcement) version() uint64 {
	if a.Seq > 0 {
		return a.Seq
	}
	return uint64(max(a.Load.AsOfMS, 0))
}

// sameDescription reports whether two announcements are equal apart from the
// fields that change with every announcement: sequence number, uptime, load and
// cache events.
func (a *Announcement) sameDescription(b *Announcement) bool {
	x, y := *a, *b
	x.Seq, y.Seq = 0, 0
	x.UptimeMS, y.UptimeMS = 0, 0
	x.Load, y.Load = serving.Load{}, serving.Load{}
	x.CacheEvents, y.CacheEvents = nil, nil
	return reflect.DeepEqual(x, y)
}
