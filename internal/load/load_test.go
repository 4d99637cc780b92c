package load

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

func TestScratch(t *testing.T) {
	var all []Summary
	loads := []float64{0.95}
	if s := os.Getenv("LOADS"); s != "" {
		loads = nil
		for _, p := range strings.Split(s, ",") {
			f, _ := strconv.ParseFloat(p, 64)
			loads = append(loads, f)
		}
	}
	for _, l := range loads {
		for _, p := range policies() {
			at := time.Now()
			all = append(all, Experiment(Config{Seed: 1, Load: l, Policy: p, Faults: os.Getenv("FAULTS") != "", Entries: envInt("ENTRIES")}))
			t.Log(time.Since(at))
		}
	}
	var b bytes.Buffer
	_ = WriteTable(&b, all)
	t.Log("\n" + b.String())
}

func envInt(k string) int { n, _ := strconv.Atoi(os.Getenv(k)); return n }

func policies() []Policy {
	q := 0.95
	if s := os.Getenv("Q"); s != "" {
		q, _ = strconv.ParseFloat(s, 64)
	}
	ours := Ours
	ours.Quantile = q
	ours.OwnerMemory = os.Getenv("NOOM") == ""
	if os.Getenv("SLOTS") != "" {
		ours.Slots = SlotPolicy(os.Getenv("SLOTS"))
	}
	if os.Getenv("ONLY") != "" {
		return []Policy{ours}
	}
	return []Policy{RoundRobin, LeastInFlight, ours}
}
