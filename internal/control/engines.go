package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/fleet"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

const (
	// maxReadBack bounds an engine's answer to a read-back in bytes.
	maxReadBack = 1 << 20
	// queryTimeout bounds a call that asks an entry for its engines or an engine
	// for its state.
	queryTimeout = time.Second
	// announceInterval is the time between two announcements of an engine.
	announceInterval = 500 * time.Millisecond
	// engineStaleAfter is the age of its last announcement after which an engine is
	// ignored.
	engineStaleAfter = 5 * time.Second
)

// readEngines returns the engines and their addresses as reported by the first
// listed entry that answers. It begins with the entry that answered the previous
// time.
func (o *engineOrders) readEngines(ctx context.Context, v *registry.View) ([]fleet.Engine, map[string]string) {
	entries := o.server.Machine.Entries().GetEntries()
	for i := range entries {
		e := entries[(o.preferredEntry+i)%len(entries)]
		sentAt := o.clock.Now()
		res, err := o.fetchMembers(ctx, e.GetAddress())
		if err != nil {
			klog.V(1).InfoS("Failed to get the engines from an entry", "entry", e.GetHost(), "err", err)
			continue
		}
		o.preferredEntry = (o.preferredEntry + i) % len(entries)
		return decodeEngines(v, res.GetRecords(), sentAt)
	}
	return nil, nil
}

// fetchMembers queries an entry for its membership records of engines and entries.
func (o *engineOrders) fetchMembers(ctx context.Context, address string) (*schema.MemberExchange, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	// An entry returns the records that are missing from the digest of the exchange,
	// but none if the digest is empty. The digest must therefore not be empty.
	digest := []*schema.MemberDigest{{Id: "control"}}
	return schema.NewMembersProtobufClient("http://"+address, o.entryClient).Exchange(ctx, &schema.MemberExchange{Digest: digest})
}

func decodeEngines(v *registry.View, records []*schema.MemberRecord, sentAt time.Duration) ([]fleet.Engine, map[string]string) {
	var engines []fleet.Engine
	addresses := map[string]string{}
	for _, r := range records {
		age := time.Duration(r.GetAgeMs()) * time.Millisecond
		a, err := engine.DecodeAnnouncement(r.GetAnnouncement())
		if err != nil || r.GetKind() != string(engine.MemberEngine) || a.Kind != engine.KindModel || age > engineStaleAfter {
			continue
		}
		engines = append(engines, reportedEngine(v, a, sentAt-age-announceInterval))
		addresses[string(a.Engine)] = a.Address
	}
	return engines, addresses
}

// reportedEngine converts an announcement to an engine for the reconciler. See
// fleet.Engine for reportRequestedAt.
func reportedEngine(v *registry.View, a *engine.Announcement, reportRequestedAt time.Duration) fleet.Engine {
	e := fleet.Engine{
		ID: a.Engine, DataCentre: a.DataCentre, Incarnation: a.Incarnation, State: fleet.State(a.State),
		Out:           v.EngineOut(string(a.Engine)) || v.DataCentreOut(string(a.DataCentre)),
		ChecksFencing: a.ChecksFencing == "yes", Role: a.Role, ReportRequestedAt: reportRequestedAt,
	}
	if id, ok := v.Resolve(schema.ObjectKind_OBJECT_KIND_ENGINE, string(a.Engine)); ok {
		e.ID = serving.EngineID(id)
	}
	if e.State == fleet.Starting && len(a.Models) == 0 {
		// An engine without a model is ready for an order to load one.
		e.State = fleet.Ready
	}
	for _, m := range a.Models {
		e.Models = append(e.Models, canonicalModel(v, string(m.Model), string(m.Version)))
	}
	return e
}
