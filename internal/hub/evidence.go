package hub

import (
	"time"
	"unique"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
)

const (
	// maxReportedProcesses bounds the entry processes whose reports of a rollout are kept. It
	// is three times the number of entries expected in two years, which restart meanwhile.
	maxReportedProcesses = 4096
	// maxReportedCounts bounds the counts of one report.
	maxReportedCounts = 2 * rollout.MaxKeys
)

// entryProcess identifies one run of an entry.
type entryProcess struct {
	entry       string
	incarnation uint64
}

// rolloutReports holds the reports of a rollout. Those of processes that have ended are kept,
// because their calls still count.
type rolloutReports map[entryProcess]*entryReport

// entryReport is what one process of an entry has reported.
type entryReport struct {
	// phase is the one that the entry applies, oldRunning the number of its calls at other
	// versions, as of the report with the sequence number, which arrived at heardAt.
	phase      rollout.Phase
	oldRunning int
	sequence   uint64
	heardAt    time.Duration
	counts     map[rollout.Key]*entryCounts
	// direct is set if the process has reported to this hub. changedAt is the cursor after
	// the last change.
	direct    bool
	changedAt uint64
}

// entryCounts are the counts of one key with the cursor after their last change. They are kept
// encoded, because there are hundreds of thousands with many entries, most of them of few calls.
type entryCounts struct {
	encoded   []byte
	outcomes  int64
	changedAt uint64
}

// message returns the counts as they are reported.
func (c *entryCounts) message(key rollout.Key) *schema.RolloutCounts {
	m := &schema.RolloutCounts{}
	// The bytes were encoded here, so they are valid.
	_ = proto.Unmarshal(c.encoded, m)
	m.NewVersion, m.Route, m.Engine, m.Slice, m.Class = key.Version != "", key.Route, string(key.Engine), uint32(key.Slice), uint32(key.Class)
	return m
}

// collectRollouts adds the reports of an entry's process to the evidence. age is the time since
// the entry sent them; direct marks those of entries that poll this hub. Reports may come
// repeatedly and in any order. The caller holds mu of the hub.
func (h *Hub) collectRollouts(now, age time.Duration, p entryProcess, reports []*schema.RolloutReport, direct bool) {
	if !h.ServesRollouts || len(p.entry) > maxEntryName {
		return
	}
	for _, in := range reports {
		if !h.mayReport(in.GetId()) {
			continue
		}
		t := h.rollouts.tracked(now, in.GetId())
		if t == nil || t.ended || len(in.GetCounts()) > maxReportedCounts {
			continue
		}
		e := t.reports[p]
		if e == nil {
			if len(t.reports) >= maxReportedProcesses {
				continue
			}
			e = &entryReport{counts: map[rollout.Key]*entryCounts{}}
			t.reports[p] = e
		}
		h.rollouts.cursor++
		e.changedAt = h.rollouts.cursor
		e.direct = e.direct || direct
		if in.GetSequence() > e.sequence {
			e.sequence, e.phase, e.oldRunning, e.heardAt = in.GetSequence(), rollout.PhaseFromWire(in.GetPhase()), max(0, int(in.GetOldRunning())), now-age
		}
		for _, m := range in.GetCounts() {
			t.add(e, m, h.rollouts.cursor)
		}
	}
}

// maxEntryName bounds the name of an entry in bytes.
const maxEntryName = 256

// mayReport reports whether a rollout may exist. Reports can arrive before the state in which
// the rollout starts.
func (h *Hub) mayReport(id uint64) bool {
	if id > h.state.GetRolloutsRevision() {
		return true
	}
	for _, m := range h.state.GetRollouts() {
		if m.GetId() == id {
			return true
		}
	}
	return false
}

// newVersion stands for the version to which the traffic shifts in the keys of the evidence
// that a hub keeps, because reports may arrive before the hub knows its name.
const newVersion rollout.Version = "new"

// add replaces the counts of one key if they are later than those known, and adds the
// difference to the sum. Invalid counts are ignored.
func (t *trackedRollout) add(e *entryReport, m *schema.RolloutCounts, cursor uint64) {
	key, counts, valid := rollout.CountsFromWire(m, newVersion)
	if !valid {
		return
	}
	known := e.counts[key]
	if known == nil {
		if len(e.counts) >= maxReportedCounts {
			return
		}
		// All entries have the same names, of which one copy is kept.
		key.Route, key.Engine = unique.Make(key.Route).Value(), unique.Make(key.Engine).Value()
		known = &entryCounts{}
		e.counts[key] = known
	}
	if counts.Outcomes() <= known.outcomes {
		return
	}
	_, earlier, _ := rollout.CountsFromWire(known.message(key), newVersion)
	added := counts.Since(&earlier)
	t.sum.Add(key).Merge(&added)
	// Marshal fails only for invalid UTF-8, and the key is left out.
	known.encoded, _ = proto.Marshal(counts.ToWire(rollout.Key{}))
	known.outcomes, known.changedAt = counts.Outcomes(), cursor
}

// evidence returns the counts of all entries. Where the committed counts are higher, because
// entries ended before this hub heard of them, the difference is added without an engine.
func (t *trackedRollout) evidence(committed *schema.Rollout) rollout.Evidence {
	to := rollout.Version(committed.GetTo())
	out := make(rollout.Evidence, len(t.sum))
	for key, c := range t.sum {
		if key.Version != "" {
			key.Version = to
		}
		out.Add(key).Merge(c)
	}
	known := byRoute(out)
	for _, m := range committed.GetCounts() {
		key, counts, valid := rollout.CountsFromWire(m, to)
		if !valid {
			continue
		}
		if missing := counts.Since(known.Add(key)); missing.Sent > 0 {
			out.Add(key).Merge(&missing)
		}
	}
	return out
}

// byRoute returns the evidence summed over the engines.
func byRoute(e rollout.Evidence) rollout.Evidence {
	out := rollout.Evidence{}
	for key, c := range e {
		key.Engine = ""
		out.Add(key).Merge(c)
	}
	return out
}

func countsToWire(e rollout.Evidence) []*schema.RolloutCounts {
	out := make([]*schema.RolloutCounts, 0, len(e))
	for key, c := range e {
		out = append(out, c.ToWire(key))
	}
	return out
}

// changedReports returns the reports of entries that poll this hub which have changed after a
// cursor, and the current cursor. The caller holds mu of the hub.
func (t *rolloutTracker) changedReports(now time.Duration, cursor uint64) ([]*schema.EntryRollouts, uint64) {
	var out []*schema.EntryRollouts
	for id, r := range t.rollouts {
		for p, e := range r.reports {
			if !e.direct || e.changedAt <= cursor {
				continue
			}
			report := &schema.RolloutReport{Id: id, Phase: e.phase.ToWire(), OldRunning: int32(e.oldRunning), Sequence: e.sequence}
			for key, c := range e.counts {
				if c.changedAt > cursor {
					report.Counts = append(report.Counts, c.message(key))
				}
			}
			out = append(out, &schema.EntryRollouts{Entry: p.entry, Incarnation: p.incarnation, AgeMs: max(0, now-e.heardAt).Milliseconds(),
				Reports: []*schema.RolloutReport{report}})
		}
	}
	return out, t.cursor
}
