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
// it is well above the target for that time, which is 73 ms at p95.
const StallGap = 200 * time.Millisecond

// Recorder collects the results of a run. It is not safe for concurrent use.
type Recorder struct {
	interToken, firstToken *hdrhistogram.Histogram
	accounts               map[serving.ClientAccountID]*accountResult
	refused                map[string]int64
	offered                int64
	completed              int64
	lost, failed           int64
	preempted              int64
	goodTokens             serving.Tokens
	stall                  time.Duration
	crossRegion            serving.Bytes
}

type accountResult struct {
	firstToken *hdrhistogram.Histogram
	stall      time.Duration
	completed  int64
}

// newHistogram returns a histogram of durations in microseconds, up to two minutes
// and with two significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 2) }

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		interToken: newHistogram(), firstToken: newHistogram(),
		accounts: map[serving.ClientAccountID]*accountResult{}, refused: map[string]int64{},
	}
}

func (r *Recorder) account(id serving.ClientAccountID) *accountResult {
	a := r.accounts[id]
	if a == nil {
		a = &accountResult{firstToken: newHistogram()}
		r.accounts[id] = a
	}
	return a
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the range are recorded as the smallest or largest value.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), 120_000_000))
}

// Offered counts a request that arrived.
func (r *Recorder) Offered() { r.offered++ }

// FirstToken records the time to the first token of an answer.
func (r *Recorder) FirstToken(account serving.ClientAccountID, d time.Duration) {
	record(r.firstToken, d)
	record(r.account(account).firstToken, d)
}

// InterToken records the time between two tokens of an answer; what exceeds
// [StallGap] counts as stall time.
func (r *Recorder) InterToken(account serving.ClientAccountID, d time.Duration) {
	record(r.interToken, d)
	if over := d - StallGap; over > 0 {
		r.stall += over
		r.account(account).stall += over
	}
}

// Completed records a complete answer of n tokens and the bytes that it sent
// between regions.
func (r *Recorder) Completed(account serving.ClientAccountID, n serving.Tokens, crossRegion serving.Bytes) {
	r.completed++
	r.account(account).completed++
	r.goodTokens += n
	r.crossRegion += crossRegion
}

// Refused counts a refusal by its kind.
func (r *Recorder) Refused(kind string) { r.refused[kind]++ }

// Lost counts an answer that was cut off after its first token.
func (r *Recorder) Lost() { r.lost++ }

// Failed counts a request that failed on its last attempt before any token.
func (r *Recorder) Failed() { r.failed++ }

// Preempted counts n preemptions by engines.
func (r *Recorder) Preempted(n int64) { r.preempted += n }

// Summary has the results of a run of an experiment. Durations are in milliseconds.
// WorstFirstTokenP99 and MeanFirstTokenP99 are the highest and the mean of the values
// in AccountFirstTokenP99.
type Summary struct {
	Name               string           `json:"name"`
	Load               float64          `json:"load"`
	Faults             string           `json:"faults"`
	Offered            int64            `json:"offered"`
	Completed          int64            `json:"completed"`
	Lost               int64            `json:"lost"`
	Failed             int64            `json:"failed"`
	Refused            map[string]int64 `json:"refused"`
	PreemptedPer1k     float64          `json:"preempted_per_1000"`
	StallMSPerGen      float64          `json:"stall_ms_per_generation"`
	InterTokenP50      float64          `json:"between_p50_ms"`
	InterTokenP99      float64          `json:"between_p99_ms"`
	InterTokenP999     float64          `json:"between_p999_ms"`
	FirstTokenP50      float64          `json:"first_p50_ms"`
	FirstTokenP99      float64          `json:"first_p99_ms"`
	FirstTokenP999     float64          `json:"first_p999_ms"`
	WorstFirstTokenP99 float64          `json:"worst_account_first_p99_ms"`
	MeanFirstTokenP99  float64          `json:"mean_account_first_p99_ms"`
	WorstAccount       string           `json:"worst_account"`
	GoodputPerSec      float64          `json:"goodput_tokens_per_second"`
	CrossRegionMB      float64          `json:"cross_region_mb"`

	CachedShare float64 `json:"cached_share_of_prompt"`

	AccountFirstTokenP99 map[string]int64 `json:"account_first_p99_ms"`
	// MoveRate shows how well the traffic moves to the remaining data centres: it is the
	// lowest completion rate while a data centre is out of service and shortly after,
	// relative to what the remaining capacity allows.
	MoveRate float64 `json:"move_rate,omitempty"`
	// CompletedPerSec counts completions in each second, for runs with faults.
	CompletedPerSec []int64 `json:"completed_per_second,omitempty"`
}

// Summary returns the results of a run; measured is the duration of its measured
// part.
func (r *Recorder) Summary(name string, measured time.Duration) Summary {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	gens := float64(max(1, r.completed))
	s := Summary{
		Name: name, Offered: r.offered, Completed: r.completed, Lost: r.lost, Failed: r.failed, Refused: r.refused,
		PreemptedPer1k: 1000 * float64(r.preempted) / gens, StallMSPerGen: float64(r.stall.Milliseconds()) / gens,
		InterTokenP50: ms(r.interToken, 50), InterTokenP99: ms(r.interToken, 99), InterTokenP999: ms(r.interToken, 99.9),
		FirstTokenP50: ms(r.firstToken, 50), FirstTokenP99: ms(r.firstToken, 99), FirstTokenP999: ms(r.firstToken, 99.9),
		GoodputPerSec: float64(r.goodTokens) / measured.Seconds(), CrossRegionMB: float64(r.crossRegion) / 1e6,
		AccountFirstTokenP99: map[string]int64{},
	}
	for _, id := range slices.Sorted(maps.Keys(r.accounts)) {
		p := ms(r.accounts[id].firstToken, 99)
		s.AccountFirstTokenP99[string(id)] = int64(p)
		s.MeanFirstTokenP99 += p / float64(len(r.accounts))
		if p > s.WorstFirstTokenP99 {
			s.WorstFirstTokenP99, s.WorstAccount = p, string(id)
		}
	}
	return s
}

func (s *Summary) formatRefusals() string {
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
			s.InterTokenP50, s.InterTokenP99, s.InterTokenP999, s.FirstTokenP50, s.FirstTokenP99, s.WorstFirstTokenP99,
			s.GoodputPerSec, s.CachedShare, s.CrossRegionMB, s.MoveRate, s.formatRefusals())
	}
	return t.Flush()
}

// WriteJSON writes summaries as JSON.
func WriteJSON(w io.Writer, all []Summary) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(all)
}
