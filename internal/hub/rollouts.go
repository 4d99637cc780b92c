package hub

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/deployment"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
)

const (
	// recordInterval is the time between two commits of the counts of a rollout.
	recordInterval = time.Second
	// repeatedOrderTime is how long after the end of a rollout the same order is
	// acknowledged again without an effect. It is above the time for which an operator
	// repeats an order.
	repeatedOrderTime = 10 * time.Second
	// forgetAfter is how long a rollout is kept after its end, counted by each leader from the
	// moment at which it first sees the end.
	forgetAfter = time.Hour
	// maxTrackedRollouts bounds the rollouts of which reports are kept.
	maxTrackedRollouts = deployment.MaxRollouts
	// defaultContactTime is how long a silent entry delays the end of a rollout if ContactTime
	// is not set.
	defaultContactTime = 4 * time.Second
)

// trackedRollout is what this hub knows of one rollout beside its committed state.
type trackedRollout struct {
	// elapsed is the time since the order at a time. It is at least the committed one.
	elapsed, at time.Duration
	// reports holds the reports of entries, and sum the counts of all of them.
	reports rolloutReports
	sum     rollout.Evidence
	// recordedAt is when this hub last committed the counts, as the leader.
	recordedAt time.Duration
	// ended is set once this hub has seen the end, which it did at endedAt.
	ended   bool
	endedAt time.Duration
	// phase is the last phase that this hub has logged.
	phase rollout.Phase
}

// rolloutTracker holds the rollouts by id. mu of the hub guards it.
type rolloutTracker struct {
	rollouts map[uint64]*trackedRollout
	// cursor is the number of reports received so far.
	cursor uint64
}

// tracked returns what is known of a rollout, nil if too many are known.
func (t *rolloutTracker) tracked(now time.Duration, id uint64) *trackedRollout {
	r := t.rollouts[id]
	if r == nil && len(t.rollouts) < maxTrackedRollouts {
		r = &trackedRollout{at: now, reports: rolloutReports{}, sum: rollout.Evidence{}}
		if t.rollouts == nil {
			t.rollouts = map[uint64]*trackedRollout{}
		}
		t.rollouts[id] = r
	}
	return r
}

// elapsedAt returns the time since the order, given the committed one.
func (r *trackedRollout) elapsedAt(now time.Duration, committed *schema.Rollout) time.Duration {
	stored := time.Duration(committed.GetElapsedMs()) * time.Millisecond
	if deployment.RolloutEnded(committed.GetPhase()) {
		return stored
	}
	r.elapsed, r.at = max(r.elapsed+max(0, now-r.at), stored), now
	return r.elapsed
}

// observe updates the tracker from the published state. It logs and counts new phases, and
// drops the reports of rollouts that have ended or are not known any more. The caller holds mu
// of the hub.
func (t *rolloutTracker) observe(now time.Duration, state *schema.DeploymentState) {
	known := map[uint64]bool{}
	inProgress := 0
	for _, m := range state.GetRollouts() {
		known[m.GetId()] = true
		r := t.tracked(now, m.GetId())
		if r == nil {
			continue
		}
		elapsed := r.elapsedAt(now, m)
		phase := rollout.PhaseFromWire(m.GetPhase())
		if phase != r.phase {
			r.phase = phase
			rolloutPhaseChanges.Add(phase.String(), 1)
			klog.InfoS("Rollout phase changed", "id", m.GetId(), "service", m.GetService(), "to", m.GetTo(), "phase", phase, "reason", m.GetReason(),
				"elapsed", elapsed, "duration", time.Duration(m.GetDurationNs()))
		}
		if !deployment.RolloutEnded(m.GetPhase()) {
			inProgress++
		} else if !r.ended {
			r.ended, r.endedAt = true, now
			r.reports, r.sum = nil, nil
		}
	}
	for id := range t.rollouts {
		// Reports may arrive before the state in which the rollout starts.
		if !known[id] && id <= state.GetRolloutsRevision() {
			delete(t.rollouts, id)
		}
	}
	rolloutsInProgress.Set(int64(inProgress))
}

// newerState reports whether a state is newer than the published one. Replicas that were
// reopened replay their log.
func newerState(a, b *schema.DeploymentState) bool {
	return max(a.GetRevision(), a.GetRolloutsRevision()) > max(b.GetRevision(), b.GetRolloutsRevision())
}

// StartRollout starts a rollout, unless the same one is in progress or has just ended. It
// returns once the order is durable at a quorum. An error of kind invalid or conflict means
// that the order was rejected; one of kind not_leader has the leader's base URL in Detail.
func (h *Hub) StartRollout(ctx context.Context, order rollout.Order) error {
	if err := order.Validate(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	start := h.Clock.Now()
	started, err := h.startRollout(ctx, order)
	klog.InfoS("Rollout ordered", "service", order.Service, "to", order.To, "duration", order.Duration, "started", started, "took", h.Clock.Now()-start, "err", err)
	return err
}

func (h *Hub) startRollout(ctx context.Context, order rollout.Order) (started bool, err error) {
	if err := h.checkVoters(h.Clock.Now()); err != nil {
		return false, err
	}
	state, err := h.newestState(ctx)
	if err != nil {
		return false, err
	}
	last := deployment.RolloutOf(state, order.Service)
	if acknowledged, err := h.repeatedOrder(last, order); acknowledged || err != nil {
		return false, err
	}
	next := &schema.Rollout{Service: string(order.Service), To: string(order.To), DurationNs: int64(order.Duration), OrderedMs: time.Now().UnixMilli(),
		Phase: rollout.Canary.ToWire(), Reason: "ordered"}
	if err := h.checkOrder(order, next); err != nil {
		return false, err
	}
	if err := h.proposeCommand(ctx, deployment.StartRollout(next, last.GetId())); err != nil {
		return false, err
	}
	// Another order may have been committed first.
	current := deployment.RolloutOf(h.replica.state(), order.Service)
	if current.GetId() == last.GetId() {
		return false, serving.NewError(serving.KindNoQuorum, "the rollout was not started: too many are in progress, or this hub has just lost the lead")
	}
	if acknowledged, err := h.repeatedOrder(current, order); acknowledged || err != nil {
		return true, err
	}
	return false, serving.NewError(serving.KindNoQuorum, "another rollout of the service ended meanwhile")
}

// newestState returns the committed state if this hub leads.
func (h *Hub) newestState(ctx context.Context) (*schema.DeploymentState, error) {
	node := h.replica.current()
	if s := node.State(); !s.Leading {
		return nil, serving.NewError(serving.KindNotLeader, "this hub does not lead").WithDetail(s.Leader)
	}
	if err := node.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return h.replica.state(), nil
}

// repeatedOrder reports whether a rollout comes from the same order and is in progress or has
// just ended. The error is of kind conflict if another one is in progress.
func (h *Hub) repeatedOrder(last *schema.Rollout, order rollout.Order) (bool, error) {
	if last == nil {
		return false, nil
	}
	same := rollout.FromWire(last).Order == order
	ended := deployment.RolloutEnded(last.GetPhase())
	if !ended && !same {
		e := serving.NewError(serving.KindConflict, "a rollout of service "+last.GetService()+" to version "+last.GetTo()+" is in progress")
		e.Remedy = "wait for its end, or repeat the order of the rollout in progress with the same version and duration"
		return false, e
	}
	if !ended || !same {
		return same, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.rollouts.rollouts[last.GetId()]
	return r == nil || !r.ended || h.Clock.Now()-r.endedAt < repeatedOrderTime, nil
}

// checkOrder returns an error if the newest configuration lacks the service. It sets the number
// of entries of a rollout, and the phase if all engines of the service already run the version.
func (h *Hub) checkOrder(order rollout.Order, next *schema.Rollout) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publish(h.replica.state())
	if h.service(order.Service) == nil {
		e := serving.NewError(serving.KindInvalid, "the configuration has no service "+string(order.Service))
		e.Remedy = "name a service of the configuration in force"
		return e
	}
	now := h.Clock.Now()
	if _, entries := h.totalUse(now); h.complete(now) {
		// A hub that has just started knows few entries; each would get too much.
		next.Entries = int32(entries)
	}
	if f := h.rolloutFleet(order); h.complete(now) && f.New > 0 && f.Old == 0 {
		next.Phase, next.Reason = rollout.Completed.ToWire(), "all engines run the version"
	}
	return nil
}

// rolloutFleet counts the usable engines of a service by version. The caller holds mu.
func (h *Hub) rolloutFleet(order rollout.Order) (f rollout.Fleet) {
	h.directory.ForEach(func(e *presence.EngineStatus) {
		switch {
		case e.Service != order.Service || !e.Usable() || e.Silent:
		case e.Version == order.To:
			f.New++
		default:
			f.Old++
		}
	})
	return f
}

// Rollouts returns the rollouts of all services, with the time elapsed and the counts known by
// now. An error of kind not_leader has the leader's base URL in Detail.
func (h *Hub) Rollouts(ctx context.Context) ([]*schema.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	state, err := h.newestState(ctx)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	var out []*schema.Rollout
	for _, m := range state.GetRollouts() {
		r := withoutCounts(m)
		r.Counts = m.GetCounts()
		if t := h.rollouts.tracked(now, m.GetId()); t != nil && !deployment.RolloutEnded(m.GetPhase()) {
			r.ElapsedMs = t.elapsedAt(now, m).Milliseconds()
			r.Counts = countsToWire(byRoute(t.evidence(m)))
		}
		out = append(out, r)
	}
	return out, nil
}

// withoutCounts returns a copy of a rollout without its counts.
func withoutCounts(m *schema.Rollout) *schema.Rollout {
	return &schema.Rollout{Id: m.GetId(), Service: m.GetService(), To: m.GetTo(), DurationNs: m.GetDurationNs(), OrderedMs: m.GetOrderedMs(),
		Phase: m.GetPhase(), Reason: m.GetReason(), ElapsedMs: m.GetElapsedMs(), PhaseAtMs: m.GetPhaseAtMs(), Entries: m.GetEntries()}
}

// rolloutsForEntry adds the rollouts to the answer to a poll if they are newer than those that
// the entry has. The caller holds mu.
func (h *Hub) rolloutsForEntry(now time.Duration, in *schema.WatchRequest, out *schema.WatchResult) {
	if !h.ServesRollouts || in.RolloutsRevision == nil {
		return
	}
	revision := h.state.GetRolloutsRevision()
	out.RolloutsRevision = &revision
	if in.GetRolloutsRevision() >= revision {
		return
	}
	for _, m := range h.state.GetRollouts() {
		r := withoutCounts(m)
		if t := h.rollouts.tracked(now, m.GetId()); t != nil {
			r.ElapsedMs = t.elapsedAt(now, m).Milliseconds()
		}
		out.Rollouts = append(out.Rollouts, r)
	}
}

// stateForEntries returns a state without the rollouts, which entries get apart from it.
func stateForEntries(state *schema.DeploymentState) *schema.DeploymentState {
	if len(state.GetRollouts()) == 0 && state.GetRolloutsRevision() == 0 {
		return state
	}
	return &schema.DeploymentState{Revision: state.GetRevision(), Config: state.GetConfig(), Out: state.GetOut(), Blocks: state.GetBlocks()}
}

// manageRollouts evaluates the rollouts in progress while this hub is the leader. It commits
// each change of phase at once, and the counts at an interval.
func (h *Hub) manageRollouts(ctx context.Context) {
	if !h.ServesRollouts {
		return
	}
	every(ctx, checkInterval, func() {
		state := h.replica.state()
		if !h.replica.current().State().Leading {
			return
		}
		for _, m := range state.GetRollouts() {
			next := h.nextRolloutCommand(m)
			if next.command == nil {
				continue
			}
			if err := h.proposeCommand(ctx, next.command); err != nil {
				klog.ErrorS(err, "Rollout not "+next.what+", trying again", "id", m.GetId(), "service", m.GetService(), "to", m.GetTo())
				continue
			}
			logEvidence(m, next.evidence)
		}
	})
}

// rolloutCommand is the command that a rollout needs now; nil if there is none.
type rolloutCommand struct {
	command []byte
	// what names its effect.
	what string
	// evidence is that of a decision that ends the rollout.
	evidence rollout.Evidence
}

func (h *Hub) nextRolloutCommand(m *schema.Rollout) rolloutCommand {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	t := h.rollouts.tracked(now, m.GetId())
	if t == nil {
		return rolloutCommand{}
	}
	if deployment.RolloutEnded(m.GetPhase()) {
		if t.ended && now-t.endedAt >= forgetAfter {
			return rolloutCommand{command: deployment.ForgetRollout(m.GetId()), what: "forgotten"}
		}
		return rolloutCommand{}
	}
	elapsed := t.elapsedAt(now, m)
	r := rollout.FromWire(m)
	r.Elapsed = elapsed
	evidence := t.evidence(m)
	d := h.decideRollout(now, r, t, evidence)
	if d.Phase != r.Phase {
		next := rolloutCommand{what: "advanced", command: deployment.AdvanceRollout(&schema.RolloutAdvance{Id: m.GetId(), Expected: m.GetPhase(), Phase: d.Phase.ToWire(),
			Reason: d.Reason, ElapsedMs: elapsed.Milliseconds(), Counts: countsToWire(byRoute(evidence))})}
		if !d.Phase.InProgress() {
			next.evidence = evidence
		}
		return next
	}
	if now-t.recordedAt < recordInterval {
		return rolloutCommand{}
	}
	t.recordedAt = now
	return rolloutCommand{what: "recorded", command: deployment.RecordRollout(&schema.RolloutRecord{Id: m.GetId(), ElapsedMs: elapsed.Milliseconds(),
		Counts: countsToWire(byRoute(evidence))})}
}

// maxEvidenceLines bounds the log lines about one decision.
const maxEvidenceLines = 64

// logEvidence logs the counts by route and version, and for the new version by engine, on which
// the end of a rollout is based. Engines with the most failures come first.
func logEvidence(m *schema.Rollout, evidence rollout.Evidence) {
	sums := rollout.Evidence{}
	for key, c := range evidence {
		key.Slice, key.Class = 0, 0
		sums.Add(key).Merge(c)
		if key.Engine != "" {
			key.Engine = ""
			sums.Add(key).Merge(c)
		}
	}
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b rollout.Key) int {
		return cmp.Or(cmp.Compare(min(1, len(a.Engine)), min(1, len(b.Engine))), cmp.Compare(a.Route, b.Route), cmp.Compare(sums[b].Failed, sums[a].Failed),
			cmp.Compare(a.Version, b.Version), cmp.Compare(a.Engine, b.Engine))
	})
	for _, key := range keys[:min(len(keys), maxEvidenceLines)] {
		c := sums[key]
		klog.InfoS("Rollout evidence", "id", m.GetId(), "service", m.GetService(), "route", key.Route, "version", key.Version, "engine", key.Engine, "sent", c.Sent,
			"answered", c.Answered, "failed", c.Failed, "uncounted", c.Uncounted, "first", c.First.Quantile(0.5), "token", c.Token.Quantile(0.5), "whole", c.Whole.Quantile(0.5))
	}
}

// decideRollout returns the phase that a rollout should have now. The caller holds mu.
func (h *Hub) decideRollout(now time.Duration, r rollout.Rollout, t *trackedRollout, evidence rollout.Evidence) rollout.Decision {
	if h.state.GetConfig() != nil && h.service(r.Service) == nil {
		return rollout.Decision{Phase: rollout.Reverted, Reason: "the configuration has no service " + string(r.Service) + " any more"}
	}
	if !h.complete(now) {
		// Engines that this hub does not know yet would seem to be missing.
		return rollout.Decision{Phase: r.Phase, Reason: r.Reason}
	}
	fleet := h.rolloutFleet(r.Order)
	_, entries := h.totalUse(now)
	confirmed := 0
	for _, e := range t.reports {
		age := now - e.heardAt
		if age < h.contactTime() {
			fleet.OldCalls += e.oldRunning
		}
		if age < useTTL && e.phase == rollout.Cutover {
			confirmed++
		}
	}
	fleet.Unconfirmed = max(0, entries-confirmed)
	return rollout.Evaluate(r, evidence, fleet)
}

func (h *Hub) contactTime() time.Duration {
	if h.ContactTime > 0 {
		return h.ContactTime
	}
	return defaultContactTime
}
