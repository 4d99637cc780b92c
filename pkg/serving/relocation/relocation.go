// Package relocation schedules how running generations are moved away from an
// engine that is about to end.
//
// # Usage
//
//	s := relocation.Plan(held, model)
//	time.Sleep(s.StopAfter(copied) - copied)
//
// # Why the stop waits
//
// An engine copies one generation's memory after another. A generation that is
// stopped needs one more, small copy, which waits behind all large copies that
// were ordered before; its caller would see that wait as a pause. Every entry
// therefore orders the large copies at once, while the generations go on, and
// stops its generations only when the large copies of all entries are through.
// What they hold together is known from the joint sums of the work, so that no
// message between entries is needed.
package relocation

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

const (
	// shortestNotice is the shortest time between an engine's notice and its end
	// that the platform's pages name.
	shortestNotice = 1500 * time.Millisecond
	// stopLead is the time that the stop, the last copy and the start at the
	// destination take, two round trips between regions included.
	stopLead = 350 * time.Millisecond
	// noticeDelay is the age of the notice when it reaches an entry.
	noticeDelay = 50 * time.Millisecond
	// copySlack is the factor by which copies are slower than the link's rate, for
	// set-up and for destinations in other data centres.
	copySlack = 1.25
)

const (
	// usualPace is the time for a token at a busy engine, for a generation whose own
	// pace is not known yet.
	usualPace = 10 * time.Millisecond
	// hintSlack is the factor by which an answer may outrun its expected length.
	hintSlack = 1.5
)

// Worthwhile tells whether a generation that is expected to make a number of
// tokens more, at a pace of 0 for unknown, is likely to outlive the notice of its
// engine. Copying one that ends by itself only delays the others.
func Worthwhile(remaining serving.Tokens, pace time.Duration) bool {
	if pace <= 0 {
		pace = usualPace
	}
	return time.Duration(hintSlack*float64(remaining))*pace > shortestNotice-noticeDelay-stopLead
}

// Schedule says when the generations of one engine are stopped.
type Schedule struct {
	// Copies is how long the engine needs for the large copies of all entries.
	Copies time.Duration
}

// Plan returns the schedule for an engine whose generations hold a number of
// tokens in memory, over all entries.
func Plan(held serving.Tokens, m *routing.ModelService) Schedule {
	if m.LinkMbps <= 0 {
		return Schedule{}
	}
	bits := float64(held) * float64(m.TokenBytes) * 8
	seconds := bits / (m.LinkMbps * 1e6) * copySlack
	return Schedule{Copies: time.Duration(seconds * float64(time.Second))}
}

// StopAfter returns how long after the notice a generation is stopped whose own
// large copy was through copied after the notice: once all copies are through,
// but early enough before the engine ends.
func (s Schedule) StopAfter(copied time.Duration) time.Duration {
	latest := shortestNotice - noticeDelay - stopLead
	return max(copied, min(s.Copies, latest))
}
