package history

import (
	"fmt"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// silentColdGrace is how long an engine may exceed the cold limit after it turned cold
// without announcing it. Entries detect this state only after a delay.
const silentColdGrace = 2 * time.Second

// SilentCold records that an engine turned cold at a time without announcing it.
type SilentCold struct {
	Engine serving.EngineID
	At     time.Time
}

// ColdLimit checks P2: no cold engine held more than limit generations from all
// entries together, and no engine restarted because of overload ("fell_over").
// Silent lists engines that turned cold unannounced; the limit applies to them after
// silentColdGrace.
func ColdLimit(events []standin.Event, limit int, silent []SilentCold) error {
	for i := range events {
		ev := &events[i]
		if ev.Event == "fell_over" {
			return fmt.Errorf("P2: %s was restarted by overload at %s", ev.Engine, wallTime(ev).Format(timeFormat))
		}
		tolerated := slices.ContainsFunc(silent, func(s SilentCold) bool {
			// Truncated to milliseconds, the time of an event can be up to 1 ms before s.At.
			elapsed := wallTime(ev).Sub(s.At)
			return s.Engine == ev.Engine && elapsed >= -time.Millisecond && elapsed < silentColdGrace
		})
		if n := ev.Running + ev.Queued; ev.Event == "given" && ev.Cold && n > limit && !tolerated {
			return fmt.Errorf("P2: %s held %d generations while cold at %s, limit %d", ev.Engine, n, wallTime(ev).Format(timeFormat), limit)
		}
	}
	return nil
}

// NoNewWork checks P3 and P7: the engines accepted no work in the period that begins
// NoWorkBound (3 s) after since and ends at until. If until is zero, the period has no
// end.
func NoNewWork(events []standin.Event, engines []serving.EngineID, since, until time.Time) error {
	for i := range events {
		ev := &events[i]
		if ev.Event != "given" && ev.Event != "call_started" || !slices.Contains(engines, ev.Engine) {
			continue
		}
		if elapsed := wallTime(ev).Sub(since); elapsed > NoWorkBound && (until.IsZero() || wallTime(ev).Before(until)) {
			return fmt.Errorf("P3/P7: %s accepted %s%s %v after its data centre was taken out of service or it announced that it is leaving", ev.Engine, ev.RequestID, ev.Key, elapsed)
		}
	}
	return nil
}

// LeavingGetNoWork checks P7 for every incarnation of an engine that announced that it
// is leaving. Stand-in engines accept work for 3 s after the announcement. They refuse
// later work and record it as "refused_leaving", so any such event is a violation.
func LeavingGetNoWork(events []standin.Event) error {
	for i := range events {
		ev := &events[i]
		if ev.Event == "refused_leaving" {
			return fmt.Errorf("P7: %s got new work at %s, more than 3 s after it announced that it is leaving", ev.Engine, wallTime(ev).Format(timeFormat))
		}
		if ev.Event != "leaving" {
			continue
		}
		sameIncarnation := slices.DeleteFunc(slices.Clone(events), func(other standin.Event) bool { return other.Incarnation != ev.Incarnation })
		if err := NoNewWork(sameIncarnation, []serving.EngineID{ev.Engine}, wallTime(ev), time.Time{}); err != nil {
			return err
		}
	}
	return nil
}

// OrdersOnce checks P6: no [Order] started more than once, counted over all services.
func OrdersOnce(events []standin.Event) error {
	started := map[string]*standin.Event{}
	for i := range events {
		ev := &events[i]
		if ev.Event != "call_started" {
			continue
		}
		if first := started[ev.Key]; first != nil {
			return fmt.Errorf("P6: order %s ran at %s (%s) and again at %s (%s)", ev.Key,
				first.Engine, wallTime(first).Format(timeFormat), ev.Engine, wallTime(ev).Format(timeFormat))
		}
		started[ev.Key] = ev
	}
	return nil
}

// OrdersFenced checks that no engine ran an order of a controller ([standin.Order]) with
// a lower fencing number than an earlier one. Engines that check fencing numbers refuse
// such orders. Controllers must not send them to engines that do not check.
func OrdersFenced(events []standin.Event) error {
	for i := range events {
		ev := &events[i]
		if ev.Event == "order" && ev.Stale {
			return fmt.Errorf("fencing: %s ran the stale order %+v at %s", ev.Engine, *ev.Order, wallTime(ev).Format(timeFormat))
		}
	}
	return nil
}
