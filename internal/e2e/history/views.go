package history

import (
	"fmt"
	"time"
)

// InForce checks P9: from 5 s after a change was accepted, no entry dispatches
// under a view without it. Lease is the age at which a view expires.
func InForce(changes []Change, samples []Sample, lease time.Duration) error {
	for _, c := range changes {
		for i := range samples {
			s := &samples[i]
			late := s.At.Sub(c.Accepted)
			if late > InForceBound && s.Revision < c.Revision && s.Revision != 0 && s.Age <= lease {
				return fmt.Errorf("P9: %s serves under revision %d, %v after revision %d was accepted", s.Entry, s.Revision, late, c.Revision)
			}
		}
	}
	return nil
}

// NeverReverts checks P9: the revision of an entry's view never goes down, also
// over restarts of the entry. The samples of one entry are in the order of time.
func NeverReverts(samples []Sample) error {
	highest := map[string]uint64{}
	for i := range samples {
		s := &samples[i]
		if s.Revision == 0 {
			continue // No view: the entry serves nothing.
		}
		if s.Revision < highest[s.Entry] {
			return fmt.Errorf("P9: the view of %s went from revision %d back to %d at %s", s.Entry, highest[s.Entry], s.Revision, s.At.Format(clock))
		}
		highest[s.Entry] = s.Revision
	}
	return nil
}
