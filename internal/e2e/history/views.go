package history

import (
	"fmt"
	"time"
)

// InForce checks P9: from InForceBound (5 s) after a change was accepted, no entry has
// an unexpired view that lacks it. A view expires when its age exceeds lease.
func InForce(changes []Change, samples []Sample, lease time.Duration) error {
	for _, c := range changes {
		for i := range samples {
			s := &samples[i]
			elapsed := s.At.Sub(c.Accepted)
			if elapsed > InForceBound && s.Revision < c.Revision && s.Revision != 0 && s.Age <= lease {
				return fmt.Errorf("P9: %s serves under revision %d, %v after revision %d was accepted", s.Entry, s.Revision, elapsed, c.Revision)
			}
		}
	}
	return nil
}

// NeverReverts checks P9: the revision of an entry's view never decreases, not even
// when the entry restarts. The samples of one entry must be in chronological order.
func NeverReverts(samples []Sample) error {
	highest := map[string]uint64{}
	for i := range samples {
		s := &samples[i]
		if s.Revision == 0 {
			continue // An entry without a view serves nothing.
		}
		if s.Revision < highest[s.Entry] {
			return fmt.Errorf("P9: the view of %s went from revision %d back to %d at %s", s.Entry, highest[s.Entry], s.Revision, s.At.Format(timeFormat))
		}
		highest[s.Entry] = s.Revision
	}
	return nil
}
