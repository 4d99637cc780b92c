package history

import (
	"fmt"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// silentTolerance is how long an engine that turned cold without saying so may
// get more work than a cold one carries, since nobody can know at once.
const silentTolerance = 2 * time.Second

// SilentCold is the time at which an engine turned cold without saying so.
type SilentCold struct {
	Engine serving.EngineID
	At     time.Time
}

// ColdLimit checks P2: no cold engine carried more generations than it can, over
// all entries together, and none fell over.
func ColdLimit(events []standin.Event, limit int, silent []SilentCold) error {
	for i := range events {
		ev := &events[i]
		if ev.Event == "fell_over" {
			return fmt.Errorf("P2: %s fell over at %s", ev.Engine, wall(ev).Format(clock))
		}
		tolerated := slices.ContainsFunc(silent, func(s SilentCold) bool {
			since := wall(ev).Sub(s.At)
			return s.Engine == ev.Engine && since >= -time.Millisecond && since < silentTolerance
		})
		if n := ev.Running + ev.Queued; ev.Event == "given" && ev.Cold && n > limit && !tolerated {
			return fmt.Errorf("P2: %s carried %d generations while cold at %s, limit %d", ev.Engine, n, wall(ev).Format(clock), limit)
		}
	}
	return nil
}

// NoNewWork checks P3 and P7: the engines were given nothing from 3 s after a time
// until another time; a zero until means to the end.
func NoNewWork(events []standin.Event, engines []serving.EngineID, since, until time.Time) error {
	for i := range events {
		ev := &events[i]
		if ev.Event != "given" && ev.Event != "call_started" || !slices.Contains(engines, ev.Engine) {
			continue
		}
		if late := wall(ev).Sub(since); late > NoWorkBound && (until.IsZero() || wall(ev).Before(until)) {
			return fmt.Errorf("P3/P7: %s was given %s%s %v after it was taken out or left", ev.Engine, ev.RequestID, ev.Key, late)
		}
	}
	return nil
}

// LeavingGetNoWork checks P7 for every engine that announced to leave.
func LeavingGetNoWork(events []standin.Event) error {
	for i := range events {
		ev := &events[i]
		if ev.Event == "refused_leaving" {
			return fmt.Errorf("P7: %s got new work at %s, more than 3 s after it announced to leave", ev.Engine, wall(ev).Format(clock))
		}
		if ev.Event != "leaving" {
			continue
		}
		own := slices.DeleteFunc(slices.Clone(events), func(other standin.Event) bool { return other.Incarnation != ev.Incarnation })
		if err := NoNewWork(own, []serving.EngineID{ev.Engine}, wall(ev), time.Time{}); err != nil {
			return err
		}
	}
	return nil
}

// OrdersOnce checks P6: no key was run more than once in all records.
func OrdersOnce(events []standin.Event) error {
	started := map[string]*standin.Event{}
	for i := range events {
		ev := &events[i]
		if ev.Event != "call_started" {
			continue
		}
		if first := started[ev.Key]; first != nil {
			return fmt.Errorf("P6: order %s ran at %s (%s) and again at %s (%s)", ev.Key,
				first.Engine, wall(first).Format(clock), ev.Engine, wall(ev).Format(clock))
		}
		started[ev.Key] = ev
	}
	return nil
}

// OrdersFenced checks that no engine was given an order with a lower fencing
// number than one before it, be it that the engine refuses such orders or that the
// controllers never send them.
func OrdersFenced(events []standin.Event) error {
	for i := range events {
		ev := &events[i]
		if ev.Event == "order" && ev.Stale {
			return fmt.Errorf("fencing: %s ran the stale order %+v at %s", ev.Engine, *ev.Order, wall(ev).Format(clock))
		}
	}
	return nil
}
