package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Command is the load subcommand. It sends seeded calls to running entries over
// HTTP, checks each answer and measures what callers observe.
//
//	turmericdrum load --entry 127.0.0.1:7111 --entry 127.0.0.1:7112 --account bench:KEY:1 \
//	    --model guide --rate 20 --duration 30s --warm-up 5s --seed 7 \
//	    --step 10s:take-out:data-centre:leon-1 --step 20s:bring-back:data-centre:leon-1 \
//	    --server 127.0.0.1:7101 --operator-key KEY
//
// Answers are compared with the tokens that a stand-in engine generates, so the
// engines behind the entries must be stand-ins.
type Command struct {
	Entries      []string      `arg:"--entry,separate" placeholder:"ADDR" help:"address of an entry; may be repeated"`
	Accounts     []string      `arg:"--account,separate" placeholder:"NAME:KEY[:WEIGHT]" help:"caller key and share of the calls; may be repeated"`
	Model        string        `arg:"--model" help:"model to call"`
	Seed         uint64        `arg:"--seed" default:"1" help:"seed of all draws"`
	Rate         float64       `arg:"--rate" help:"calls a second"`
	Load         float64       `arg:"--load" help:"instead of --rate: fraction of the memory capacity"`
	MemoryTokens int64         `arg:"--memory-tokens" help:"for --load: memory of all engines in tokens"`
	TokenTime    time.Duration `arg:"--token-time" help:"for --load: expected time between tokens"`
	Duration     time.Duration `arg:"--duration" default:"30s" help:"how long calls are sent, with the warm-up"`
	WarmUp       time.Duration `arg:"--warm-up" default:"5s" help:"first part of the duration, which is not measured"`
	Drain        time.Duration `arg:"--drain" default:"60s" help:"how long answers are awaited after the last call"`

	Arrivals          string        `arg:"--arrivals" default:"poisson" help:"poisson or bursts"`
	Swing             float64       `arg:"--swing" default:"0.5" help:"relative deviation of the rate in bursts"`
	Dwell             time.Duration `arg:"--dwell" default:"2s" help:"mean time between two changes of the rate in bursts"`
	Lengths           string        `arg:"--lengths" default:"lognormal:120:0.8:2048" placeholder:"DIST" help:"answers in tokens: lognormal:MEDIAN:SIGMA:MOST or pareto:LEAST:ALPHA:MOST"`
	Prompts           string        `arg:"--prompts" default:"lognormal:100:0.8:1024" placeholder:"DIST" help:"own part of prompts in tokens, as --lengths"`
	Prefixes          int           `arg:"--prefixes" default:"4" help:"shared prompt prefixes of each account; 0 for none"`
	PrefixTokens      int           `arg:"--prefix-tokens" default:"64" help:"length of a shared prefix"`
	Streamed          float64       `arg:"--streamed" default:"1" help:"share of streamed calls"`
	Interactive       float64       `arg:"--interactive" default:"0" help:"share of calls of the highest priority"`
	Batch             float64       `arg:"--batch" default:"0" help:"share of calls of the lowest priority"`
	FirstTokenTimeout time.Duration `arg:"--patience" default:"10s" help:"time to the first token after which a caller gives up"`
	StallBound        time.Duration `arg:"--stall-bound" default:"73ms" help:"time between two tokens beyond which it counts as stall"`

	Orders    float64 `arg:"--orders" default:"0" help:"share of calls that are orders to a plain service"`
	Resent    float64 `arg:"--resent-orders" default:"0.1" help:"share of orders that are sent again with the same key"`
	Service   string  `arg:"--service" help:"plain service that takes the orders"`
	OrderPath string  `arg:"--order-path" default:"/orders" help:"path of an order"`

	Steps       []string `arg:"--step,separate" placeholder:"AT:ACTION" help:"AT:take-out:KIND:NAME, AT:bring-back:KIND:NAME or AT:fault:ADDR:{JSON}; may be repeated"`
	Server      string   `arg:"--server" placeholder:"ADDR[,ADDR]" help:"control replicas for take-out and bring-back"`
	OperatorKey string   `arg:"--operator-key,env:TURMERICDRUM_KEY" help:"operator key for take-out and bring-back"`

	Records     []string `arg:"--records" placeholder:"FILE" help:"records of the engines on this host, for preemptions"`
	MaxCalls    int      `arg:"--max-calls" default:"1000000" help:"calls after which the run ends"`
	MaxInFlight int      `arg:"--max-in-flight" default:"4096" help:"calls in progress beyond which calls are counted as not sent"`
	Name        string   `arg:"--name" default:"load" help:"name of the run in the report"`
	Output      string   `arg:"--output" default:"table" help:"table or json"`
	Show        []string `arg:"--show" placeholder:"FILE" help:"send nothing; print JSON reports as one table"`

	// Errors receives messages about wrong answers and failed steps; nil means the
	// standard error.
	Errors io.Writer `arg:"-"`
}

// maxDuration bounds the sum of the duration and the drain of a run.
const maxDuration = time.Hour

// errWrongAnswers is returned if an answer was incorrect.
var errWrongAnswers = serving.NewError(serving.KindInternal, "some answers were wrong; the request ids are printed above")

// Run sends the calls and writes the report to w. It returns an error if an
// answer was wrong or a step failed.
func (c *Command) Run(ctx context.Context, w io.Writer) error {
	if len(c.Show) > 0 {
		return showReports(w, c.Show)
	}
	p, err := c.plan()
	if err != nil {
		return err
	}
	if c.Errors == nil {
		c.Errors = os.Stderr
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration+c.Drain)
	defer cancel()
	g := newGenerator(c, p)
	stepErr := g.execute(ctx)
	report := g.results.report(c, p.rate)
	if len(c.Records) > 0 {
		report.addPreemptions(c.Records, g.started.Add(c.WarmUp), g.started.Add(c.Duration))
	}
	for _, s := range report.Wrong {
		fmt.Fprintln(c.Errors, "wrong answer:", s)
	}
	if err := c.write(w, report); err != nil {
		return err
	}
	if report.WrongAnswers > 0 {
		return errWrongAnswers
	}
	return stepErr
}

func (c *Command) write(w io.Writer, r *Report) error {
	if c.Output == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	return writeReports(w, []*Report{r})
}

// plan is a command line that was parsed and validated.
type plan struct {
	accounts                     []callerAccount
	answerLengths, promptLengths LengthDistribution
	arrivals                     Arrivals
	random                       *rand.Rand
	rate                         float64
	steps                        []step
}

type callerAccount struct {
	Account
	key string
}

func (c *Command) plan() (*plan, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	p := &plan{random: rand.New(rand.NewPCG(c.Seed, 1)), rate: c.Rate}
	for _, text := range c.Accounts {
		a, err := parseAccount(text)
		if err != nil {
			return nil, err
		}
		p.accounts = append(p.accounts, a)
	}
	for _, text := range c.Steps {
		s, err := parseStep(text)
		if err != nil {
			return nil, err
		}
		if s.fault == nil && (c.Server == "" || c.OperatorKey == "") {
			return nil, invalid("step "+text+" needs a control replica", "give --server and --operator-key")
		}
		p.steps = append(p.steps, s)
	}
	slices.SortStableFunc(p.steps, func(a, b step) int { return int(a.at - b.at) })
	var err error
	if p.answerLengths, err = parseLengthDistribution(c.Lengths); err != nil {
		return nil, err
	}
	if p.promptLengths, err = parseLengthDistribution(c.Prompts); err != nil {
		return nil, err
	}
	if c.Load > 0 {
		p.rate = c.rateForLoad(p)
	}
	p.arrivals = &Poisson{Rate: p.rate, Random: p.random}
	if c.Arrivals == "bursts" {
		p.arrivals = &Bursty{Rate: p.rate, Swing: c.Swing, Dwell: c.Dwell, Random: p.random}
	}
	return p, nil
}

// rateForLoad returns the rate at which the calls hold the fraction Load of the
// memory on average. A generation holds its prompt and its answer so far.
func (c *Command) rateForLoad(p *plan) float64 {
	const samples = 20000
	r := rand.New(rand.NewPCG(c.Seed, 2))
	held := 0.0
	for range samples {
		prompt, n := c.promptTokens(p.promptLengths.Draw(r)), float64(p.answerLengths.Draw(r))
		held += (prompt*(n+1) + n*n/2) / samples
	}
	return c.Load * float64(c.MemoryTokens) / (held * c.TokenTime.Seconds())
}

func (c *Command) promptTokens(ownTokens serving.Tokens) float64 {
	if c.Prefixes == 0 {
		return float64(ownTokens)
	}
	return float64(ownTokens) + float64(c.PrefixTokens)
}

func (c *Command) check() error {
	isFraction := func(v float64) bool { return v >= 0 && v <= 1 }
	switch {
	case len(c.Entries) == 0:
		return invalid("no entry is given", "give --entry ADDR")
	case len(c.Accounts) == 0:
		return invalid("no caller key is given", "give --account NAME:KEY")
	case c.Model == "" && c.Orders < 1:
		return invalid("no model is given", "give --model NAME")
	case (c.Rate > 0) == (c.Load > 0):
		return invalid("the rate is not given once", "give either --rate or --load")
	case c.Load > 0 && (c.MemoryTokens <= 0 || c.TokenTime <= 0):
		return invalid("--load needs the capacity", "give --memory-tokens and --token-time")
	case c.Duration <= 0 || c.Drain < 0 || c.WarmUp < 0 || c.Duration+c.Drain > maxDuration:
		return invalid("the duration is out of range", "give --duration and --drain of at most an hour together")
	case c.WarmUp >= c.Duration:
		return invalid("the warm-up takes the whole duration", "give a longer --duration")
	case c.Arrivals != "poisson" && c.Arrivals != "bursts":
		return invalid("arrivals "+c.Arrivals+" are unknown", "give --arrivals poisson or --arrivals bursts")
	case c.Swing < 0 || c.Swing >= 1 || c.Dwell <= 0:
		return invalid("the bursts are out of range", "give --swing below 1 and a positive --dwell")
	case !isFraction(c.Streamed) || !isFraction(c.Interactive+c.Batch) || !isFraction(c.Orders) || !isFraction(c.Resent):
		return invalid("a share is out of range", "give shares between 0 and 1")
	case c.Orders > 0 && c.Service == "":
		return invalid("orders need a service", "give --service NAME")
	case c.MaxCalls < 1 || c.MaxInFlight < 1 || c.Prefixes < 0 || c.PrefixTokens < 0 || c.FirstTokenTimeout <= 0 || c.StallBound <= 0:
		return invalid("a limit is out of range", "give positive values")
	case c.Output != "" && c.Output != "table" && c.Output != "json":
		return invalid("output format "+c.Output+" is unknown", "give --output table or --output json")
	}
	return nil
}

func parseAccount(text string) (callerAccount, error) {
	parts := strings.Split(text, ":")
	weight, err := 1.0, error(nil)
	if len(parts) == 3 {
		weight, err = strconv.ParseFloat(parts[2], 64)
	}
	if len(parts) < 2 || len(parts) > 3 || parts[0] == "" || parts[1] == "" || err != nil || weight <= 0 {
		// The text contains a key, so the error does not quote it.
		return callerAccount{}, invalid("an account is not of the form NAME:KEY[:WEIGHT]", "give --account NAME:KEY[:WEIGHT] with a positive weight")
	}
	return callerAccount{Account{ID: serving.ClientAccountID(parts[0]), Weight: 1, Traffic: weight}, parts[1]}, nil
}

func parseLengthDistribution(text string) (LengthDistribution, error) {
	parts := strings.Split(text, ":")
	var v [3]float64
	ok := len(parts) == 4
	for i := 0; ok && i < 3; i++ {
		var err error
		v[i], err = strconv.ParseFloat(parts[i+1], 64)
		ok = err == nil && v[i] > 0
	}
	if ok && v[2] <= maxLengthTokens {
		switch parts[0] {
		case "lognormal":
			return LogNormal{Median: v[0], Sigma: v[1], Max: serving.Tokens(v[2])}, nil
		case "pareto":
			return Pareto{Min: v[0], Alpha: v[1], Max: serving.Tokens(v[2])}, nil
		}
	}
	return nil, invalid("distribution "+text+" is not valid", "give lognormal:MEDIAN:SIGMA:MOST or pareto:LEAST:ALPHA:MOST in tokens")
}

// maxLengthTokens bounds the lengths of answers and prompts: a request body must
// stay below the default limit of an entry, which is 1 MiB.
const maxLengthTokens = 100_000

func invalid(message, remedy string) error {
	e := serving.NewError(serving.KindInvalid, message)
	e.Remedy = remedy
	return e
}

// addPreemptions counts the preemptions and generations that the engines recorded
// between from and to, including those of other callers.
func (r *Report) addPreemptions(files []string, from, to time.Time) {
	preempted, generations := 0, 0
	for _, path := range files {
		for _, ev := range (&standin.Record{Path: path}).Events() {
			if ev.WallMS < from.UnixMilli() || ev.WallMS >= to.UnixMilli() {
				continue
			}
			switch ev.Event {
			case "preempted":
				preempted++
			case "given":
				generations++
			}
		}
	}
	per1k := 1000 * float64(preempted) / float64(max(1, generations))
	r.PreemptedPer1k, r.Generations = &per1k, generations
}
