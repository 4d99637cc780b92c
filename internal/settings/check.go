package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

// maxViewLease is the longest view lease that expires within 3 s even at a clock drift
// of 5%. With a longer lease, an entry could serve for over 3 s after a change without
// having received it.
const maxViewLease = 2850 * time.Millisecond

// keyError returns an error about a settings key. The key is also in Detail.
func keyError(key, problem, remedy string) *serving.Error {
	e := serving.NewError(serving.KindInvalid, key+" "+problem)
	e.Remedy = remedy
	e.Detail = key
	return e
}

// Check returns an error that names the key and the remedy if the settings are
// invalid. It expects the defaults to be filled in.
func (s *Settings) Check() error {
	required := []struct{ key, value string }{
		{"host", string(s.Host)},
		{"data_centre", string(s.DataCentre)},
		{"region", string(s.Region)},
		{"listen", string(s.Listen)},
		{"cluster_key", s.ClusterKey},
	}
	for _, r := range required {
		if r.value == "" {
			return keyError(r.key, "is missing", "add the key "+r.key)
		}
	}
	if strings.ContainsAny(string(s.Host), " \t/") {
		return keyError("host", "has a space or a slash", "use letters, digits, dots and dashes")
	}
	if a, err := netip.ParseAddrPort(string(s.Advertise)); err != nil || a.Addr().IsUnspecified() {
		return keyError("advertise", "is no address that others can reach", "write the IP number of this host and the port")
	}
	if (s.Entry == nil) == (s.Control == nil) {
		return keyError("entry", "and control are both present or both missing", "keep the one section that this process needs")
	}
	if err := s.Limits.check(); err != nil {
		return err
	}
	if s.Entry != nil {
		return s.Entry.check()
	}
	return s.Control.check(s.Host)
}

func (e *Entry) check() error {
	if len(e.Control) == 0 {
		return keyError("entry.control", "is empty", "list the addresses of the control replicas")
	}
	if err := checkUnique("entry.control", e.Control); err != nil {
		return err
	}
	if err := checkUnique("entry.peers", e.Peers); err != nil {
		return err
	}
	if e.ViewLease.Duration > maxViewLease && e.OnExpiredView == RefuseOnExpiredView {
		return keyError("entry.view_lease", fmt.Sprintf("is over %v", maxViewLease), "lower it, so that a data centre taken out receives no new work after 3 s")
	}
	if e.ViewPoll.Duration*2 > e.ViewLease.Duration {
		return keyError("entry.view_poll", "is over half of view_lease", "lower it, so that one lost poll does not expire the view")
	}
	ranges := []struct {
		key              string
		value, low, high time.Duration
	}{
		{"entry.view_poll", e.ViewPoll.Duration, 50 * time.Millisecond, time.Second},
		{"entry.slot_ttl", e.SlotTTL.Duration, 200 * time.Millisecond, 5 * time.Second},
		{"entry.queue_timeout", e.QueueTimeout.Duration, time.Second, 10 * time.Minute},
		{"entry.write_timeout", e.WriteTimeout.Duration, 100 * time.Millisecond, 10 * time.Minute},
	}
	for _, r := range ranges {
		if r.value < r.low || r.value > r.high {
			return keyError(r.key, fmt.Sprintf("is %v", r.value), fmt.Sprintf("use at least %v and at most %v", r.low, r.high))
		}
	}
	if err := checkOneOf("entry.on_expired_view", e.OnExpiredView, RefuseOnExpiredView, ServeOnExpiredView); err != nil {
		return err
	}
	return checkOneOf("entry.placement", e.Placement, PlaceByCost, PlaceLeastInFlight, PlaceRoundRobin)
}

func (c *Control) check(self serving.HostID) error {
	if c.Data == "" {
		return keyError("control.data", "is missing", "name the data folder")
	}
	if len(c.Replicas)%2 == 0 {
		return keyError("control.replicas", "has an even number of replicas", "list one, three or five, this one included")
	}
	var hosts []serving.HostID
	var addresses []Address
	found := false
	for _, r := range c.Replicas {
		hosts = append(hosts, r.Host)
		addresses = append(addresses, r.Address)
		found = found || r.Host == self
	}
	if err := checkUnique("control.replicas.host", hosts); err != nil {
		return err
	}
	if err := checkUnique("control.replicas.address", addresses); err != nil {
		return err
	}
	if !found {
		return keyError("control.replicas", "lacks this host "+string(self), "add the host with its address")
	}
	if hash, err := hex.DecodeString(c.OperatorKeyHash); err != nil || len(hash) != 32 {
		return keyError("control.operator_key_hash", "is not a SHA-256 hash", "write 64 hexadecimal digits, as sha256sum prints them")
	}
	if c.Heartbeat.Duration*3 > c.ElectionMin.Duration {
		return keyError("control.heartbeat", "is over a third of election_min", "lower heartbeat or raise election_min")
	}
	if c.ElectionMin.Duration >= c.ElectionMax.Duration {
		return keyError("control.election_max", "is not over election_min", "raise election_max")
	}
	if c.SnapshotEntries < 1 {
		return keyError("control.snapshot_entries", "is not positive", "use a number like 10000")
	}
	_, err := registry.New(registry.Config{
		Schemes: c.NamingSchemes, ResultRetention: c.ResultRetention.Duration,
		ClaimRetention: c.ClaimRetention.Duration, ClaimTimeout: c.ClaimTimeout.Duration,
	})
	if err != nil {
		return keyError("control", "is refused by the registry: "+serving.AsError(err).Message, "correct naming_schemes, claim_retention or claim_timeout")
	}
	if !(c.WeightStoreRate > 0) || c.WeightStoreBurst < 1 {
		return keyError("control.weight_store_rate", "or weight_store_burst is not positive", "write loads a second, like 0.5, and loads at once, like 2")
	}
	return checkUnique("control.naming_schemes", c.NamingSchemes)
}

// checkUnique returns an error if a value occurs twice.
func checkUnique[T ~string](key string, values []T) error {
	seen := map[T]bool{}
	for _, v := range values {
		if seen[v] {
			return keyError(key, "has "+string(v)+" twice", "remove one of them")
		}
		seen[v] = true
	}
	return nil
}

func checkOneOf(key, value string, allowed ...string) error {
	for _, a := range allowed {
		if value == a {
			return nil
		}
	}
	return keyError(key, "has the unknown value "+value, fmt.Sprintf("use one of %v", allowed))
}
