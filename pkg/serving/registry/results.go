package registry

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// results stores the results of changes by command id. The queue is in command
// order. A result whose client's clock was ahead delays the removal of the
// results behind it by at most maxClockLead.
type results struct {
	byID  map[string]*schema.SavedResult
	queue []*schema.SavedResult
}

func newResults() results {
	return results{byID: map[string]*schema.SavedResult{}}
}

func (r *results) add(s *schema.SavedResult) {
	r.byID[s.GetCommandId()] = s
	r.queue = append(r.queue, s)
}

func (r *results) expire(nowMS int64) {
	n := 0
	for n < len(r.queue) && r.queue[n].GetKeepUntilMs() < nowMS {
		delete(r.byID, r.queue[n].GetCommandId())
		r.queue[n] = nil
		n++
	}
	r.queue = r.queue[n:]
}

// contentHash returns a hash of a change, including its command id.
func contentHash(c *schema.Change) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return nil
	}
	h := sha256.Sum256(b)
	return h[:16]
}
