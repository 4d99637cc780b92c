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

// View is a configuration at one revision, with the time at which it was confirmed.
type View struct {
	*registry.View
	// ConfirmedAt is when the poll that returned or confirmed the view was sent, less
	// the age that the source stated. The leader confirmed the view at that time or
	// later.
	ConfirmedAt time.Duration
}

// viewReceived is the event that delivers a poll answer, which has a view or confirms a
// revision.
type viewReceived struct {
	// view is nil if the answer only confirms a revision.
	view     *registry.View
	revision serving.Revision
	// confirmedAt is the time for [View.ConfirmedAt].
	confirmedAt time.Duration
	// entryList is nil if the list has not changed.
	entryList *schema.EntryList
}

// apply stores a view unless it is older than the current one. The later of the two
// confirmation times applies to the newer revision, because it contains every change
// that was accepted before either confirmation.
func (ev viewReceived) apply(s *controlState, _ time.Duration) bool {
	if s.View == nil && ev.confirmedAt < s.startedAt {
		// A view from another entry that was confirmed before this process started may be
		// older than the view that the previous process of this entry had.
		return false
	}
	if ev.entryList != nil && (s.OwnerCandidates == nil || ev.entryList.Epoch > s.OwnerCandidates.Epoch) {
		s.OwnerCandidates = decodeEntryList(ev.entryList)
	}
	current := s.View
	switch {
	case current == nil && ev.view == nil, current != nil && ev.revision < current.Revision():
		return false // The revision must not decrease.
	case current == nil:
		s.View = &View{View: ev.view, ConfirmedAt: ev.confirmedAt}
		return true
	}
	next := *current
	next.ConfirmedAt = max(current.ConfirmedAt, ev.confirmedAt)
	if ev.revision > current.Revision() {
		if ev.view == nil {
			return false
		}
		next.View = ev.view
	}
	changed := next != *current
	s.View = &next
	return changed
}

func decodeEntryList(l *schema.EntryList) *OwnerCandidates {
	list := &OwnerCandidates{Epoch: l.Epoch}
	for _, e := range l.Entries {
		list.Entries = append(list.Entries, engine.Entry{
			Host: serving.HostID(e.Host), Address: e.Address,
			DataCentre: serving.DataCentreID(e.DataCentre), Region: serving.RegionID(e.Region),
		})
	}
	return list
}

func encodeEntryList(l *OwnerCandidates) *schema.EntryList {
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

// viewFresh reports whether new work may start under the view of a snapshot. A view may
// be used until its lease ends, or without limit if on_expired_view is set to serve.
func (e *Entry) viewFresh(b *Blackboard) bool {
	if b.View == nil {
		return false
	}
	cfg := e.Settings.Entry
	return e.viewAge(b) <= cfg.ViewLease.Duration || cfg.OnExpiredView == settings.ServeOnExpiredView
}

// warnIfServingExpiredViews logs the guarantees that do not hold if on_expired_view is
// set to serve.
func (e *Entry) warnIfServingExpiredViews() {
	if e.Settings.Entry.OnExpiredView == settings.ServeOnExpiredView {
		klog.Warning("on_expired_view is serve: while no control quorum is reachable, this entry continues with its last configuration. " +
			"Data centres and engines that are taken out of service or are leaving may receive new work for longer than 3 s, and accepted changes may not take effect within 5 s.")
	}
}

// GetView implements schema.Views. It returns this entry's view and its age to another
// entry that polls it.
func (e *Entry) GetView(_ context.Context, req *schema.ViewRequest) (*schema.ViewResult, error) {
	b := e.board.load()
	if b.View == nil || e.viewAge(b) > e.Settings.Entry.ViewLease.Duration {
		return nil, serving.NewError(serving.KindViewExpired, "this entry has no confirmed view")
	}
	revision := uint64(b.View.Revision())
	if revision < max(req.HaveRevision, req.ConfigRevision) {
		return nil, serving.NewError(serving.KindViewExpired, "this entry's view is older than that of the caller")
	}
	// The age is rounded up. Otherwise a view would lose up to 1 ms of its age each time
	// an entry relays it.
	res := &schema.ViewResult{Revision: revision, AgeMs: e.viewAge(b).Milliseconds() + 1}
	if res.Unchanged = revision == req.ConfigRevision; !res.Unchanged {
		res.Config = b.View.Config()
	}
	if b.OwnerCandidates != nil && b.OwnerCandidates.Epoch != req.EntriesEpoch {
		res.Entries = encodeEntryList(b.OwnerCandidates)
	}
	return res, nil
}
