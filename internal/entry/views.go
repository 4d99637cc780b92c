package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

// View is a configuration at one revision, and when the leader confirmed it.
type View struct {
	*registry.View
	// ConfirmedAt is the time at which the request was sent whose answer brought
	// or confirmed the view, less the age that the answerer gave.
	ConfirmedAt time.Duration
}

// viewReceived is the event of a view that was brought or confirmed.
type viewReceived struct {
	// view is nil if the answer only confirms a revision.
	view     *registry.View
	revision serving.Revision
	at       time.Duration
	// list is the entry list if it changed.
	list *schema.EntryList
}

// apply takes over a view that is not older. Whatever was accepted before either
// confirmation is part of the higher revision, so the later time holds for it.
func (ev viewReceived) apply(s *controlState, _ time.Duration) bool {
	if s.View == nil && ev.at < s.startedAt {
		// Another entry's view that was confirmed before this process started may be
		// older than what the process before had.
		return false
	}
	if ev.list != nil && (s.Owners == nil || ev.list.Epoch > s.Owners.Epoch) {
		s.Owners = decodeEntryList(ev.list)
	}
	held := s.View
	switch {
	case held == nil && ev.view == nil, held != nil && ev.revision < held.Revision():
		return false // A view never goes back.
	case held == nil:
		s.View = &View{View: ev.view, ConfirmedAt: ev.at}
		return true
	}
	next := *held
	next.ConfirmedAt = max(held.ConfirmedAt, ev.at)
	if ev.revision > held.Revision() {
		if ev.view == nil {
			return false
		}
		next.View = ev.view
	}
	changed := next != *held
	s.View = &next
	return changed
}

func decodeEntryList(l *schema.EntryList) *OwnerList {
	list := &OwnerList{Epoch: l.Epoch}
	for _, e := range l.Entries {
		list.Entries = append(list.Entries, engine.Entry{
			Host: serving.HostID(e.Host), Address: e.Address,
			DataCentre: serving.DataCentreID(e.DataCentre), Region: serving.RegionID(e.Region),
		})
	}
	return list
}

func encodeEntryList(l *OwnerList) *schema.EntryList {
	list := &schema.EntryList{Epoch: l.Epoch}
	for _, e := range l.Entries {
		list.Entries = append(list.Entries, &schema.ListedEntry{
			Host: string(e.Host), Address: e.Address, DataCentre: string(e.DataCentre), Region: string(e.Region),
		})
	}
	return list
}

// viewAge returns the age of a snapshot's view.
func (e *Entry) viewAge(b *Blackboard) time.Duration { return e.Clock.Now() - b.View.ConfirmedAt }

// viewFresh tells whether new work may start under the view of a snapshot.
func (e *Entry) viewFresh(b *Blackboard) bool {
	if b.View == nil {
		return false
	}
	cfg := e.Settings.Entry
	return e.viewAge(b) <= cfg.ViewLease.Duration || cfg.OnExpiredView == settings.ServeOnExpiredView
}

// warnOfExpiredViews tells operators what the setting on_expired_view gives up.
func (e *Entry) warnOfExpiredViews() {
	if e.Settings.Entry.OnExpiredView == settings.ServeOnExpiredView {
		klog.Warning("on_expired_view is serve: while no control quorum is reachable, this entry goes on under its last configuration. " +
			"Data centres and engines that are taken out or leave may receive new work for longer than 3 s, and accepted changes may not be in force within 5 s.")
	}
}

// GetView gives this entry's view, with its age, to another entry.
func (e *Entry) GetView(_ context.Context, req *schema.ViewRequest) (*schema.ViewResult, error) {
	b := e.board.load()
	if b.View == nil || e.viewAge(b) > e.Settings.Entry.ViewLease.Duration {
		return nil, serving.NewError(serving.KindViewExpired, "this entry has no confirmed view")
	}
	revision := uint64(b.View.Revision())
	if revision < max(req.HaveRevision, req.ConfigRevision) {
		return nil, serving.NewError(serving.KindViewExpired, "this entry's view is older than that of the caller")
	}
	// Rounding up keeps the age from getting lost over a chain of entries.
	res := &schema.ViewResult{Revision: revision, AgeMs: e.viewAge(b).Milliseconds() + 1}
	if res.Unchanged = revision == req.ConfigRevision; !res.Unchanged {
		res.Config = b.View.Config()
	}
	if b.Owners != nil && b.Owners.Epoch != req.EntriesEpoch {
		res.Entries = encodeEntryList(b.Owners)
	}
	return res, nil
}
