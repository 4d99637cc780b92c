package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

func envFloats(k string, d ...float64) []float64 {
	s := os.Getenv(k)
	if s == "" {
		return d
	}
	var out []float64
	for _, p := range strings.Split(s, ",") {
		f, _ := strconv.ParseFloat(p, 64)
		out = append(out, f)
	}
	return out
}

func TestScratch(t *testing.T) {
	var cfgs []Config
	for _, l := range envFloats("LOADS", 0.95) {
		for _, seed := range envFloats("SEEDS", 1, 2) {
			base := Config{Seed: uint64(seed), Load: l, Bursty: os.Getenv("BURSTY") != ""}
			for _, f := range strings.Fields(os.Getenv("FAULTS")) {
				base.Faults = append(base.Faults, Fault(f))
			}
			if os.Getenv("ONLY") == "" {
				for _, p := range []Policy{RoundRobin, LeastInFlight} {
					c := base
					c.Policy = p
					cfgs = append(cfgs, c)
				}
			}

			for _, q := range envFloats("Q", 0.95) {
				c := base
				c.Policy = Ours
				c.Policy.Quantile = q
				c.Policy.Name = fmt.Sprint("ours-", q)
				if s := os.Getenv("SLOTS"); s != "" {
					c.Policy.Slots = SlotPolicy(s)
				}
				c.Policy.Reserve = serving.Slots(envFloats("RESERVE", 0)[0])
				c.Policy.Credit = envFloats("CREDIT", 0)[0]
				c.Policy.Calibrate = envFloats("CALIB", 0)[0]
				cfgs = append(cfgs, c)
			}
		}
	}
	if os.Getenv("FAIR") != "" {
		for i, n := 0, len(cfgs); i < n; i++ {
			c := cfgs[i]
			cfgs[i].Accounts, cfgs[i].Load = FairnessAccounts(false)
			c.Accounts, c.Load = FairnessAccounts(true)
			cfgs = append(cfgs, c)
		}
	}
	all := make([]Summary, len(cfgs))
	var g errgroup.Group
	g.SetLimit(2)
	for i, c := range cfgs {
		g.Go(func() error { all[i] = Experiment(c); return nil })
	}
	_ = g.Wait()
	var b bytes.Buffer
	_ = WriteTable(&b, all)
	for _, s := range all {
		t.Log(s.Name, s.Load, s.AccountFirstP99)
	}
	t.Log("\n" + b.String())
}
