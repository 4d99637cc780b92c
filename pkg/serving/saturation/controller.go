package saturation

import (
	"math"
	"time"
)

const (
	// highLevel is the level at which an entry claims to leave, and lowLevel the one below which
	// it returns. Above 0.8 of a processor, waiting times are more than five times those of an
	// idle one (a queue with random arrivals). The gap is wider than the part of its load that an
	// entry loses in the time in which the load balancer notices, so that it doesn't flap.
	highLevel Level = 0.8
	lowLevel  Level = 0.6
	// newsTimeout is how long a grant is valid from the poll that it answers. It is longer than
	// one poll that times out (0.7 s).
	newsTimeout = time.Second
	// minClaim is the shortest duration of a claim that isn't granted.
	minClaim = time.Second
	// minAway is the shortest time away. The load balancer needs 2.5 s to notice it.
	minAway = 4 * time.Second
	// maxAway is the longest time away, so that other saturated entries get a turn.
	maxAway = 15 * time.Second
	// minReady is the shortest time between a return and the next claim.
	minReady = 3 * time.Second
	// smoothing is the time constant of the average of processor and link use.
	smoothing = 600 * time.Millisecond
	// maxSampleGap is the longest time between two samples that are compared. After a longer one
	// the process was suspended.
	maxSampleGap = 3 * time.Second
)

// Sample is what the process has used. Processor and Bytes are totals since its start.
type Sample struct {
	Processor time.Duration
	// Bytes is the total in the busier direction of the link.
	Bytes uint64
	// Descriptors is the number of open connections now.
	Descriptors int
}

// Levels are the levels of the resources of a host, processor and link smoothed.
type Levels struct {
	Processor, Link, Descriptors Level
}

// Highest returns the level of the scarcest resource.
func (l Levels) Highest() Level { return max(l.Processor, l.Link, l.Descriptors) }

// Cause is the reason of a change of phase.
type Cause string

// Causes of changes of phase.
const (
	CauseSaturated Cause = "saturated"
	CauseGranted   Cause = "granted"
	CauseRelieved  Cause = "relieved"
	CauseNoNews    Cause = "no_news"
	CauseWithdrawn Cause = "withdrawn"
	CauseTurnOver  Cause = "turn_over"
	CauseShutdown  Cause = "shutdown"
)

// Decision is the result of Decide. Changed is set if the phase differs from that of the last
// decision; Cause is the reason.
type Decision struct {
	Phase   Phase
	Changed bool
	Cause   Cause
}

// Controller decides the phase of one entry. Capacity is set before the first use.
type Controller struct {
	Capacity Capacity

	last   Sample
	lastAt time.Duration
	// sampled is set once last is valid.
	sampled bool
	levels  Levels

	phase Phase
	// since is when the phase began, and noClaimBefore the earliest time of the next claim.
	since, noClaimBefore time.Duration
	sequence             uint64
	// leaving is set once the entry shuts down.
	leaving bool

	answer Answer
	// askedAt is when the poll was sent that the hub answered with answer, valid if answered is
	// set.
	askedAt  time.Duration
	answered bool
}

// Observe records a sample. Samples that can't follow the last one start the average again.
func (c *Controller) Observe(now time.Duration, s Sample) {
	gap := now - c.lastAt
	if !c.Capacity.Known() || c.sampled && gap <= 0 {
		return
	}
	last := c.last
	follows := c.sampled && gap <= maxSampleGap && s.Processor >= last.Processor && s.Bytes >= last.Bytes
	c.last, c.lastAt, c.sampled = s, now, true
	if !follows {
		c.levels = Levels{}
		return
	}
	weight := Level(1 - math.Exp(-gap.Seconds()/smoothing.Seconds()))
	processor := Level((s.Processor - last.Processor).Seconds() / gap.Seconds() / c.Capacity.Cores)
	link := Level(float64(s.Bytes-last.Bytes) * 8 / 1e6 / gap.Seconds() / c.Capacity.LinkMbps)
	c.levels.Processor += weight * (processor - c.levels.Processor)
	c.levels.Link += weight * (link - c.levels.Link)
	c.levels.Descriptors = Level(max(0, s.Descriptors)) / Level(c.Capacity.Descriptors)
}

// SetAnswer records the answer to a poll that was sent at the given time.
func (c *Controller) SetAnswer(sentAt time.Duration, a Answer) {
	c.answer, c.askedAt, c.answered = a, sentAt, true
}

// ClearAnswer records that a hub answered a poll without an Answer, so that nothing is decided.
func (c *Controller) ClearAnswer() { c.answer, c.answered = Answer{}, false }

// SetLeaving records that the entry shuts down. It counts as away at the hub, so that others
// stay.
func (c *Controller) SetLeaving() { c.leaving = true }

// Levels returns the levels of the host.
func (c *Controller) Levels() Levels { return c.levels }

// Answer returns the last answer of a hub.
func (c *Controller) Answer() Answer { return c.answer }

// AwayUntil returns the time up to which the entry reports that it isn't ready unless the next
// answer extends it; 0 if it is ready. A process that was suspended has no other bound.
func (c *Controller) AwayUntil() time.Duration {
	if c.phase != Away {
		return 0
	}
	return c.askedAt + newsTimeout
}

// Phase returns the phase as of the last decision.
func (c *Controller) Phase() Phase { return c.phase }

// State returns what the entry reports to its hub, except for its data centre.
func (c *Controller) State() State {
	c.sequence++
	return State{Size: c.Capacity.Size(), Phase: c.phase, Level: c.levels.Highest(), Sequence: c.sequence}
}

// Decide returns the phase at the given time.
func (c *Controller) Decide(now time.Duration) Decision {
	phase, cause := c.next(now)
	changed := phase != c.phase
	if changed {
		if c.phase == Away {
			c.noClaimBefore = now + minReady
		}
		c.phase, c.since = phase, now
	}
	return Decision{Phase: phase, Changed: changed, Cause: cause}
}

// next returns the phase that follows, and the reason if it differs from the current one.
func (c *Controller) next(now time.Duration) (Phase, Cause) {
	level, inPhase := c.levels.Highest(), now-c.since
	switch {
	case !c.answered || now-c.askedAt > newsTimeout || now-c.lastAt > maxSampleGap:
		return Ready, CauseNoNews
	case c.leaving:
		return Leaving, CauseShutdown
	case c.phase == Away && !c.answer.Granted:
		return Ready, CauseWithdrawn
	case c.phase == Away && inPhase >= maxAway:
		return Ready, CauseTurnOver
	case c.phase == Away && inPhase >= minAway && level < lowLevel:
		return Ready, CauseRelieved
	case c.phase == Claiming && c.answer.Granted && c.askedAt > c.since:
		return Away, CauseGranted
	case c.phase == Claiming && inPhase >= minClaim && level < lowLevel:
		return Ready, CauseRelieved
	case c.phase == Ready && level >= highLevel && now >= c.noClaimBefore && MaxAway(c.answer.Entries) > 0:
		return Claiming, CauseSaturated
	}
	return c.phase, ""
}
