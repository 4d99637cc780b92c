package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"

	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// StallGap is the time between two tokens beyond which a caller notices a stall;
// it is well above the target of 73 ms at p95.
const StallGap = 200 * time.Millisecond

// Recorder collects the results of a run. It is not safe for concurrent use.
type Recorder struct {
	between, first *hdrhistogram.Histogram
	accounts       map[serving.ClientAccountID]*accountResult
	refused        map[string]int64
	offered        int64
	completed      int64
	lost, failed   int64
	preempted      int64
	goodTokens     serving.Tokens
	stall          time.Duration
	crossRegion    serving.Bytes
}

type accountResult struct {
	first     *hdrhistogram.Histogram
	stall     time.Duration
	completed int64
}

// newHistogram holds microseconds up to two minutes with two digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 2) }

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		between: newHistogram(), first: newHistogram(),
		accounts: map[serving.ClientAccountID]*accountResult{}, refused: map[string]int64{},
	}
}

func (r *Recorder) account(id serving.ClientAccountID) *accountResult {
	a := r.accounts[id]
	if a == nil {
		a = &accountResult{first: newHistogram()}
		r.accounts[id] = a
	}
	return a
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value beyond the range counts as the largest one.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), 120_000_000))
}

// Offered records a request.
func (r *Recorder) Offered() { r.offered++ }

// First records a time to first token.
func (r *Recorder) First(account serving.ClientAccountID, d time.Duration) {
	record(r.first, d)
	record(r.account(account).first, d)
}

// Between records a time between two tokens.
func (r *Recorder) Between(account serving.ClientAccountID, d time.Duration) {
	record(r.between, d)
	if over := d - StallGap; over > 0 {
		r.stall += over
		r.account(account).stall += over
	}
}

// Completed records a complete answer and the bytes it moved between regions.
func (r *Recorder) Completed(account serving.ClientAccountID, n serving.Tokens, crossRegion serving.Bytes) {
	r.completed++
	r.account(account).completed++
	r.goodTokens += n
	r.crossRegion += crossRegion
}

// Refused records a refusal by kind.
func (r *Recorder) Refused(kind string) { r.refused[kind]++ }

// Lost records an answer that was cut off after its first token.
func (r *Recorder) Lost() { r.lost++ }

// Failed records a request without any token that was given up.
func (r *Recorder) Failed() { r.failed++ }

// Preempted records preemptions by engines.
func (r *Recorder) Preempted(n int64) { r.preempted += n }

// Summary has the results of a run; durations are in milliseconds.
type Summary struct {
	Name           string           `json:"name"`
	Load           float64          `json:"load"`
	Faults         string           `json:"faults"`
	Offered        int64            `json:"offered"`
	Completed      int64            `json:"completed"`
	Lost           int64            `json:"lost"`
	Failed         int64            `json:"failed"`
	Refused        map[string]int64 `json:"refused"`
	PreemptedPer1k float64          `json:"preempted_per_1000"`
	StallMSPerGen  float64          `json:"stall_ms_per_generation"`
	BetweenP50     float64          `json:"between_p50_ms"`
	BetweenP99     float64          `json:"between_p99_ms"`
	BetweenP999    float64          `json:"between_p999_ms"`
	FirstP50       float64          `json:"first_p50_ms"`
	FirstP99       float64          `json:"first_p99_ms"`
	FirstP999      float64          `json:"first_p999_ms"`
	WorstFirstP99  float64          `json:"worst_account_first_p99_ms"`
	MeanFirstP99   float64          `json:"mean_account_first_p99_ms"`
	WorstAccount   string           `json:"worst_account"`
	GoodputPerSec  float64          `json:"goodput_tokens_per_second"`
	CrossRegionMB  float64          `json:"cross_region_mb"`

	CachedShare float64 `json:"cached_share_of_prompt"`

	AccountFirstP99 map[string]int64 `json:"account_first_p99_ms"`
	// MoveRate is the smallest completion rate during a data centre move relative
	// to what the remaining capacity allows.
	MoveRate float64 `json:"move_rate,omitempty"`
	// CompletedPerSec counts completions in each second, for runs with faults.
	CompletedPerSec []int64 `json:"completed_per_second,omitempty"`
}

// Summary returns the results over the given time.
func (r *Recorder) Summary(name string, over time.Duration) Summary {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	gens := float64(max(1, r.completed))
	s := Summary{
		Name: name, Offered: r.offered, Completed: r.completed, Lost: r.lost, Failed: r.failed, Refused: r.refused,
		PreemptedPer1k: 1000 * float64(r.preempted) / gens, StallMSPerGen: float64(r.stall.Milliseconds()) / gens,
		BetweenP50: ms(r.between, 50), BetweenP99: ms(r.between, 99), BetweenP999: ms(r.between, 99.9),
		FirstP50: ms(r.first, 50), FirstP99: ms(r.first, 99), FirstP999: ms(r.first, 99.9),
		GoodputPerSec: float64(r.goodTokens) / over.Seconds(), CrossRegionMB: float64(r.crossRegion) / 1e6,
		AccountFirstP99: map[string]int64{},
	}
	for _, id := range slices.Sorted(maps.Keys(r.accounts)) {
		p := ms(r.accounts[id].first, 99)
		s.AccountFirstP99[string(id)] = int64(p)
		s.MeanFirstP99 += p / float64(len(r.accounts))
		if p > s.WorstFirstP99 {
			s.WorstFirstP99, s.WorstAccount = p, string(id)
		}
	}
	return s
}

func (s *Summary) refusals() string {
	var parts []string
	for kind, n := range s.Refused {
		parts = append(parts, fmt.Sprintf("%s=%d", kind, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// WriteTable writes summaries as a table.
func WriteTable(w io.Writer, all []Summary) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "load\tfaults\tpolicy\tdone\tlost\tfailed\tpreempt/1k\tstall ms/gen\tbetween p50\tp99\tp99.9\tfirst p50\tp99\tworst acct p99\tgoodput tok/s\tcached\tcross MB\tmove\trefused\t")
	for i := range all {
		s := &all[i]
		fmt.Fprintf(t, "%.2f\t%s\t%s\t%d/%d\t%d\t%d\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.1f\t%.2f\t%s\t\n",
			s.Load, s.Faults, s.Name, s.Completed, s.Offered, s.Lost, s.Failed, s.PreemptedPer1k, s.StallMSPerGen,
			s.BetweenP50, s.BetweenP99, s.BetweenP999, s.FirstP50, s.FirstP99, s.WorstFirstP99,
			s.GoodputPerSec, s.CachedShare, s.CrossRegionMB, s.MoveRate, s.refusals())
	}
	return t.Flush()
}

// WriteJSON writes summaries as JSON.
func WriteJSON(w io.Writer, all []Summary) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(all)
}
