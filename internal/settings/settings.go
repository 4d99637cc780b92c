package settings

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Settings are the settings of one process. Exactly one of Entry and Control is
// set.
type Settings struct {
	// Host is the id of the host, which is unique in the system.
	Host       serving.HostID       `yaml:"host"`
	DataCentre serving.DataCentreID `yaml:"data_centre"`
	Region     serving.RegionID     `yaml:"region"`
	// Listen is the address that the process serves on.
	Listen Address `yaml:"listen"`
	// Advertise is the address at which other processes reach this one. It defaults
	// to Listen.
	Advertise Address `yaml:"advertise,omitempty"`
	// ClusterKey authenticates the processes of the system and the engines to each other.
	ClusterKey string   `yaml:"cluster_key"`
	EventLog   EventLog `yaml:"event_log,omitempty"`
	Limits     Limits   `yaml:"limits,omitempty"`
	Entry      *Entry   `yaml:"entry,omitempty"`
	Control    *Control `yaml:"control,omitempty"`
}

// EventLog configures the file of timeline events. An empty path disables it.
type EventLog struct {
	Path     string `yaml:"path,omitempty"`
	MaxBytes Size   `yaml:"max_bytes,omitempty"`
}

// Entry are the settings of an entry process.
type Entry struct {
	// Control lists the addresses of the control replicas.
	Control []Address `yaml:"control"`
	// Peers lists the addresses of other entries through which this one joins the
	// membership.
	Peers []Address `yaml:"peers,omitempty"`
	// ViewLease is the age at which a configuration view expires.
	ViewLease Duration `yaml:"view_lease,omitempty"`
	// ViewPoll is the interval at which the entry polls for its configuration view.
	ViewPoll Duration `yaml:"view_poll,omitempty"`
	// OnExpiredView is RefuseOnExpiredView or ServeOnExpiredView.
	OnExpiredView string `yaml:"on_expired_view,omitempty"`
	// DrainNotice is the time for which a draining entry still accepts requests
	// after its readiness check starts to fail.
	DrainNotice Duration `yaml:"drain_notice,omitempty"`
	MaxBody     Size     `yaml:"max_body,omitempty"`
	// SlotTTL is the time after which a slot expires unless it is renewed. A slot is
	// the right to run one generation at a time on an engine.
	SlotTTL Duration `yaml:"slot_ttl,omitempty"`
	// QueueTimeout limits how long a request waits for an engine.
	QueueTimeout Duration `yaml:"queue_timeout,omitempty"`
	// WriteTimeout limits the duration of one write to a slow caller.
	WriteTimeout Duration `yaml:"write_timeout,omitempty"`
	// Placement is PlaceByCost, PlaceLeastInFlight or PlaceRoundRobin.
	Placement string `yaml:"placement,omitempty"`
	// ResumeKey signs resume tokens, with which callers resume an interrupted stream
	// at any entry. It must be the same on all entries and defaults to the cluster key.
	ResumeKey string `yaml:"resume_key,omitempty"`
}

// Control are the settings of a control process.
type Control struct {
	// Data is the path of the data folder.
	Data string `yaml:"data"`
	// Replicas lists all initial replicas, including this one.
	Replicas []Replica `yaml:"replicas"`
	// OperatorKeyHash is the SHA-256 hash, in hexadecimal, of the first operator's key.
	OperatorKeyHash string   `yaml:"operator_key_hash"`
	Heartbeat       Duration `yaml:"heartbeat,omitempty"`
	ElectionMin     Duration `yaml:"election_min,omitempty"`
	ElectionMax     Duration `yaml:"election_max,omitempty"`
	// NamingSchemes lists the naming schemes in which objects can have aliases.
	NamingSchemes []string `yaml:"naming_schemes,omitempty"`
	// ResultRetention is how long the result of a change is stored, so that a resent
	// command gets the same result.
	ResultRetention Duration `yaml:"result_retention,omitempty"`
	// ClaimTimeout is the time after which the outcome of an order claim that is not
	// settled counts as unknown. An order is a call that must run at most once. A claim
	// permits one attempt to send it, and settling the claim records the outcome.
	ClaimTimeout Duration `yaml:"claim_timeout,omitempty"`
	// ClaimRetention is how long settled order claims are stored.
	ClaimRetention Duration `yaml:"claim_retention,omitempty"`
	// SnapshotEntries is the number of log entries between snapshots.
	SnapshotEntries int `yaml:"snapshot_entries,omitempty"`
	// WeightStoreRate limits model loads from the weight store, in loads per second
	// for the whole system. WeightStoreBurst is the number of loads that may start
	// at once.
	WeightStoreRate  float64 `yaml:"weight_store_rate,omitempty"`
	WeightStoreBurst int     `yaml:"weight_store_burst,omitempty"`
}

// Replica is one control replica.
type Replica struct {
	Host    serving.HostID `yaml:"host"`
	Address Address        `yaml:"address"`
}

// Values of OnExpiredView: whether an entry refuses or serves requests after its
// configuration view has expired.
const (
	RefuseOnExpiredView = "refuse"
	ServeOnExpiredView  = "serve"
)

// Names of placement policies.
const (
	PlaceByCost        = "cost"
	PlaceLeastInFlight = "least_in_flight"
	PlaceRoundRobin    = "round_robin"
)

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// applyDefaults sets the fields that are zero to their defaults.
func (s *Settings) applyDefaults() {
	setDefault(&s.Advertise, s.Listen)
	setDefault(&s.EventLog.MaxBytes.Bytes, 16<<20)
	if s.Entry != nil {
		s.Entry.applyDefaults(s.ClusterKey)
	}
	if s.Control != nil {
		s.Control.applyDefaults()
	}
}

func (e *Entry) applyDefaults(clusterKey string) {
	setDefault(&e.ViewLease.Duration, 2500*time.Millisecond)
	setDefault(&e.ViewPoll.Duration, 500*time.Millisecond)
	setDefault(&e.OnExpiredView, RefuseOnExpiredView)
	setDefault(&e.DrainNotice.Duration, 2*time.Second)
	setDefault(&e.MaxBody.Bytes, 1<<20)
	setDefault(&e.SlotTTL.Duration, 2*time.Second)
	setDefault(&e.QueueTimeout.Duration, 10*time.Second)
	setDefault(&e.WriteTimeout.Duration, 10*time.Second)
	setDefault(&e.Placement, PlaceByCost)
	setDefault(&e.ResumeKey, clusterKey)
}

func (c *Control) applyDefaults() {
	setDefault(&c.Heartbeat.Duration, 100*time.Millisecond)
	setDefault(&c.ElectionMin.Duration, 500*time.Millisecond)
	setDefault(&c.ElectionMax.Duration, time.Second)
	if len(c.NamingSchemes) == 0 {
		c.NamingSchemes = []string{"catalogue", "legacy", "site"}
	}
	setDefault(&c.ResultRetention.Duration, 7*24*time.Hour)
	setDefault(&c.ClaimTimeout.Duration, 30*time.Second)
	setDefault(&c.ClaimRetention.Duration, 7*24*time.Hour)
	setDefault(&c.SnapshotEntries, 10000)
	setDefault(&c.WeightStoreRate, 0.5)
	setDefault(&c.WeightStoreBurst, 2)
}
