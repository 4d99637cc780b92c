package control

import (
	"context"
	"fmt"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// views implements schema.Views.
type views struct{ *Server }

var _ schema.Views = views{}

// GetView notes which entry asks and returns its view with the entry list.
func (s views) GetView(ctx context.Context, r *schema.ViewRequest) (*schema.ViewResult, error) {
	if err := s.Log.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	if id, ok := s.Machine.Resolve(schema.ObjectKind_OBJECT_KIND_DATA_CENTRE, r.GetDataCentre()); ok {
		r.DataCentre = id
	}
	s.polls.heard(s.Clock.Now(), r)
	res, err := s.view(r)
	if err != nil {
		return nil, err
	}
	if list := s.Machine.Entries(); list.GetEpoch() != r.GetEntriesEpoch() {
		res.Entries = list
	}
	return res, nil
}

// view returns the configuration, what changed since the one that the entry
// holds, or that nothing changed.
func (s views) view(r *schema.ViewRequest) (*schema.ViewResult, error) {
	revision := uint64(s.Machine.Revision())
	if revision < r.GetHaveRevision() || revision < r.GetConfigRevision() {
		return nil, serving.NewError(serving.KindViewExpired,
			fmt.Sprintf("this replica is at revision %d, behind revision %d of the entry", revision, max(r.GetHaveRevision(), r.GetConfigRevision())))
	}
	if held := r.GetConfigRevision(); held != 0 && held != revision {
		c := s.Machine.ConfigView(serving.Revision(held))
		return &schema.ViewResult{Revision: c.GetRevision(), Config: c}, nil
	}
	if revision != 0 && (r.GetConfigRevision() == revision || r.GetConfigRevision() == 0 && r.GetHaveRevision() == revision) {
		return &schema.ViewResult{Revision: revision, Unchanged: true}, nil
	}
	c := s.wholeView(revision)
	return &schema.ViewResult{Revision: c.GetRevision(), Config: c}, nil
}

// wholeView returns the whole configuration at least at a revision. It is kept
// for the next entry, because after a change or a restart many ask for the same.
func (s views) wholeView(revision uint64) *schema.ConfigView {
	if c := s.whole.Load(); c != nil && c.GetRevision() >= revision {
		return c
	}
	c := s.Machine.ConfigView(0)
	s.whole.Store(c)
	return c
}
