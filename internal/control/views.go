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

// GetView records the poll of the entry and returns the configuration. It adds the
// entry list unless the entry has the list of the current epoch.
func (s views) GetView(ctx context.Context, r *schema.ViewRequest) (*schema.ViewResult, error) {
	if err := s.Log.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	if id, ok := s.Machine.Resolve(schema.ObjectKind_OBJECT_KIND_DATA_CENTRE, r.GetDataCentre()); ok {
		r.DataCentre = id
	}
	s.polls.record(s.Clock.Now(), r)
	res, err := s.view(r)
	if err != nil {
		return nil, err
	}
	if list := s.Machine.Entries(); list.GetEpoch() != r.GetEntriesEpoch() {
		res.Entries = list
	}
	return res, nil
}

// view returns the full configuration, only the changes since the ConfigRevision of
// the request, or no configuration if the entry has the current one. HaveRevision is
// the highest revision that the entry has seen; in a request without ConfigRevision
// it is taken as the revision that the entry has.
func (s views) view(r *schema.ViewRequest) (*schema.ViewResult, error) {
	revision := uint64(s.Machine.Revision())
	if revision < r.GetHaveRevision() || revision < r.GetConfigRevision() {
		return nil, serving.NewError(serving.KindViewExpired,
			fmt.Sprintf("this replica is at revision %d, behind revision %d of the entry", revision, max(r.GetHaveRevision(), r.GetConfigRevision())))
	}
	if entryRevision := r.GetConfigRevision(); entryRevision != 0 && entryRevision != revision {
		c := s.Machine.ConfigView(serving.Revision(entryRevision))
		return &schema.ViewResult{Revision: c.GetRevision(), Config: c}, nil
	}
	if revision != 0 && (r.GetConfigRevision() == revision || r.GetConfigRevision() == 0 && r.GetHaveRevision() == revision) {
		return &schema.ViewResult{Revision: revision, Unchanged: true}, nil
	}
	c := s.fullView(revision)
	return &schema.ViewResult{Revision: c.GetRevision(), Config: c}, nil
}

// fullView returns the full configuration at the given revision or a later one. It
// is cached for other entries, because after a change or a restart many request the
// same one.
func (s views) fullView(revision uint64) *schema.ConfigView {
	if c := s.cachedView.Load(); c != nil && c.GetRevision() >= revision {
		return c
	}
	c := s.Machine.ConfigView(0)
	s.cachedView.Store(c)
	return c
}
