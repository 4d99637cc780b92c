package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// maxWrongDescribed bounds the wrong answers that a report describes; it counts all.
const maxWrongDescribed = 100

// results collects the outcomes of calls. Counts and times cover only the calls that
// were due after the warm-up, except for wrong answers, which are always counted.
// Rates cover only the answers that ended in the measured time.
type results struct {
	*Command
	started time.Time

	mu                                sync.Mutex
	interToken, firstToken, orderTime *hdrhistogram.Histogram
	accounts                          map[serving.ClientAccountID]*accountTimes
	refused, cutBy                    map[string]int64
	totals                            Report
	// streaming is the time between tokens and stall its part beyond the stall bound,
	// both summed over all streams.
	streaming, stall time.Duration
	goodTokens       int64
	perSecond        []int64
}

type accountTimes struct {
	firstToken       *hdrhistogram.Histogram
	streaming, stall time.Duration
}

func newResults(c *Command, started time.Time) *results {
	return &results{
		Command: c, started: started, interToken: newHistogram(), firstToken: newHistogram(), orderTime: newHistogram(),
		accounts: map[serving.ClientAccountID]*accountTimes{}, refused: map[string]int64{}, cutBy: map[string]int64{},
		perSecond: make([]int64, int((c.Duration-c.WarmUp)/time.Second)),
	}
}

func (s *results) add(q *request, o *outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.wrong != "" {
		s.totals.WrongAnswers++
		if len(s.totals.Wrong) < maxWrongDescribed {
			s.totals.Wrong = append(s.totals.Wrong, fmt.Sprintf("request %s at %s: %s", o.request, q.entry, o.wrong))
		}
	}
	s.addCompletion(q, o)
	if q.at < s.WarmUp {
		return
	}
	s.totals.Offered++
	switch {
	case o.unsent:
		s.totals.NotSent++
	case o.wrong != "":
	case o.complete && q.order:
		s.totals.Orders++
		record(s.orderTime, o.ended.Sub(o.sent))
	case o.complete:
		s.totals.Completed++
	case o.timedOut:
		s.totals.TimedOut++
	case o.tokens > 0:
		s.cutBy[cutKind(o)]++
		s.totals.Cut++
	case o.kind != "":
		s.refused[o.kind]++
	default:
		s.totals.Lost++
	}
	s.addTokenTimes(q, o)
}

// cutKind returns the kind of error that ended a stream early, or "connection" if
// the connection ended without an error event.
func cutKind(o *outcome) string {
	if o.kind == "" {
		return "connection"
	}
	return o.kind
}

// addCompletion adds a complete answer to the rates, in the second in which it ended.
func (s *results) addCompletion(q *request, o *outcome) {
	i := int((o.ended.Sub(s.started) - s.WarmUp) / time.Second)
	if !o.complete || o.ended.Before(s.started.Add(s.WarmUp)) || i >= len(s.perSecond) {
		return
	}
	s.perSecond[i]++
	// The first token of an answer that is not streamed cannot be observed. Such an
	// answer may take the first-token timeout plus the stall bound for each token.
	late := !q.stream && o.ended.Sub(o.sent) > s.FirstTokenTimeout+time.Duration(o.tokens)*s.StallBound
	if !q.order && !late {
		s.totals.Good++
		s.goodTokens += int64(o.tokens)
	}
}

func (s *results) addTokenTimes(q *request, o *outcome) {
	if o.firstToken == 0 {
		return
	}
	a := s.accounts[q.account.ID]
	if a == nil {
		a = &accountTimes{firstToken: newHistogram()}
		s.accounts[q.account.ID] = a
	}
	record(s.firstToken, o.firstToken)
	record(a.firstToken, o.firstToken)
	for _, gap := range o.gaps {
		record(s.interToken, gap)
		over := max(0, gap-s.StallBound)
		s.streaming, s.stall = s.streaming+gap, s.stall+over
		a.streaming, a.stall = a.streaming+gap, a.stall+over
	}
}

// Report has the figures of a run as observed by its callers.
type Report struct {
	Name       string   `json:"name"`
	Seed       uint64   `json:"seed"`
	Load       float64  `json:"load,omitempty"`
	RatePerSec float64  `json:"rate_per_second"`
	MeasuredS  float64  `json:"measured_seconds"`
	Steps      []string `json:"steps,omitempty"`

	Offered   int64 `json:"offered"`
	Completed int64 `json:"completed"`
	Orders    int64 `json:"orders_completed"`
	// Refused counts calls that got an error before any token, by its kind. TimedOut
	// counts streams that the caller canceled because there was no token within the
	// first-token timeout. Cut counts streams that ended after a token without being
	// complete, and CutBy counts them by the cause.
	Refused  map[string]int64 `json:"refused"`
	TimedOut int64            `json:"gave_up"`
	Cut      int64            `json:"cut"`
	CutBy    map[string]int64 `json:"cut_by_kind"`
	// Lost counts calls that got no token, no answer and no error, for example because
	// the connection broke. NotSent counts calls over the limit of calls in progress.
	Lost         int64    `json:"lost"`
	NotSent      int64    `json:"not_sent"`
	WrongAnswers int64    `json:"wrong_answers"`
	Wrong        []string `json:"wrong,omitempty"`

	// StallS is the part of the time between tokens that exceeds the stall bound,
	// summed over all streams. StallShare is its share of the time between tokens.
	StallS     float64 `json:"stall_seconds"`
	StallShare float64 `json:"stall_share"`
	// PreemptedPer1k is nil if no records of engines were given. Generations counts
	// the generations that the engines accepted in the measured time.
	PreemptedPer1k *float64  `json:"preempted_per_1000,omitempty"`
	Generations    int       `json:"generations_recorded,omitempty"`
	InterTokenMS   Quantiles `json:"between_ms"`
	FirstTokenMS   Quantiles `json:"first_ms"`
	OrderMS        Quantiles `json:"order_ms"`

	// Good counts complete answers within the callers' time limits that ended in the
	// measured time.
	Good             int64   `json:"good"`
	GoodPerSec       float64 `json:"good_per_second"`
	GoodTokensPerSec float64 `json:"good_tokens_per_second"`

	WorstFirstTokenAccount string  `json:"worst_first_account"`
	WorstFirstTokenP99MS   float64 `json:"worst_first_p99_ms"`
	MeanFirstTokenP99MS    float64 `json:"mean_first_p99_ms"`
	WorstStallAccount      string  `json:"worst_stall_account"`
	WorstStallShare        float64 `json:"worst_stall_share"`
	MeanStallShare         float64 `json:"mean_stall_share"`

	CompletedPerSec []int64 `json:"completed_per_second"`
	MeanPerSec      float64 `json:"mean_per_second"`
	LowestSecond    int64   `json:"lowest_second"`
	// Lowest5s is the lowest mean rate over five successive seconds. At low rates,
	// single seconds vary too much to compare.
	Lowest5s float64 `json:"lowest_5s_per_second"`
}

// Quantiles are in milliseconds, with two significant digits.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{ms(50), ms(99), ms(99.9)}
}

func share(part, whole time.Duration) float64 {
	return part.Seconds() / max(whole.Seconds(), 1e-9)
}

func (s *results) report(c *Command, rate float64) *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.totals
	r.Name, r.Seed, r.Load, r.RatePerSec, r.Steps = c.Name, c.Seed, c.Load, rate, c.Steps
	r.MeasuredS = (c.Duration - c.WarmUp).Seconds()
	r.Refused, r.CutBy = s.refused, s.cutBy
	r.StallS, r.StallShare = s.stall.Seconds(), share(s.stall, s.streaming)
	r.InterTokenMS, r.FirstTokenMS, r.OrderMS = quantiles(s.interToken), quantiles(s.firstToken), quantiles(s.orderTime)
	r.GoodPerSec, r.GoodTokensPerSec = float64(r.Good)/r.MeasuredS, float64(s.goodTokens)/r.MeasuredS
	n := float64(len(s.accounts))
	for _, id := range slices.Sorted(maps.Keys(s.accounts)) {
		a := s.accounts[id]
		first, stall := quantiles(a.firstToken).P99, share(a.stall, a.streaming)
		r.MeanFirstTokenP99MS += first / n
		r.MeanStallShare += stall / n
		if r.WorstFirstTokenAccount == "" || first > r.WorstFirstTokenP99MS {
			r.WorstFirstTokenAccount, r.WorstFirstTokenP99MS = string(id), first
		}
		if r.WorstStallAccount == "" || stall > r.WorstStallShare {
			r.WorstStallAccount, r.WorstStallShare = string(id), stall
		}
	}
	r.setRates(s.perSecond)
	return &r
}

func (r *Report) setRates(perSecond []int64) {
	r.CompletedPerSec = perSecond
	if len(perSecond) == 0 {
		return
	}
	r.LowestSecond = slices.Min(perSecond)
	window := min(5, len(perSecond))
	var sum, total int64
	for i, n := range perSecond {
		total += n
		sum += n
		if i >= window {
			sum -= perSecond[i-window]
		}
		if mean := float64(sum) / float64(window); i == window-1 || i >= window && mean < r.Lowest5s {
			r.Lowest5s = mean
		}
	}
	r.MeanPerSec = float64(total) / float64(len(perSecond))
}

// formatCounts formats counts by kind as KIND=N, sorted by kind.
func formatCounts(m map[string]int64) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s=%d", k, m[k]))
	}
	return strings.Join(parts, " ")
}

// writeReports writes a table with one row per report.
func writeReports(w io.Writer, reports []*Report) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "run\tload\trate/s\toffered\twhole\torders\tgave up\tcut\tlost\twrong\tnot sent\tstall s\tstall %\tpreempt/1k\tbetween p50\tp99\tp99.9\tfirst p50\tp99\tp99.9\tgood/s\tgood tok/s\tworst first p99\tmean\tworst stall %\tmean\tdone/s\tlowest 1s\tlowest 5s\trefused\tcut by\t")
	for _, r := range reports {
		preempted := "-"
		if r.PreemptedPer1k != nil {
			preempted = fmt.Sprintf("%.1f", *r.PreemptedPer1k)
		}
		fmt.Fprintf(t, "%s\t%.2f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.3f\t%s\t", r.Name, r.Load, r.RatePerSec,
			r.Offered, r.Completed, r.Orders, r.TimedOut, r.Cut, r.Lost, r.WrongAnswers, r.NotSent, r.StallS, 100*r.StallShare, preempted)
		fmt.Fprintf(t, "%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t%.1f\t%d\t%.1f\t%s\t%s\t\n",
			r.InterTokenMS.P50, r.InterTokenMS.P99, r.InterTokenMS.P999, r.FirstTokenMS.P50, r.FirstTokenMS.P99, r.FirstTokenMS.P999,
			r.GoodPerSec, r.GoodTokensPerSec, r.WorstFirstTokenP99MS, r.MeanFirstTokenP99MS, 100*r.WorstStallShare, 100*r.MeanStallShare,
			r.MeanPerSec, r.LowestSecond, r.Lowest5s, formatCounts(r.Refused), formatCounts(r.CutBy))
	}
	return t.Flush()
}

// showReports reads JSON reports of earlier runs and writes them as one table.
func showReports(w io.Writer, files []string) error {
	var reports []*Report
	for _, path := range files {
		b, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, "read report")
		}
		r := &Report{}
		if err := json.Unmarshal(b, r); err != nil {
			return eris.Wrapf(err, "decode report %s", path)
		}
		reports = append(reports, r)
	}
	return writeReports(w, reports)
}
