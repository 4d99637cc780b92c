package registry

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// benchmarkApply applies b.N commands that are encoded beforehand.
func benchmarkApply(b *testing.B, command func(n int) *schema.Command) {
	m := newMachine(b)
	list := make([][]byte, b.N)
	for i := range list {
		list[i] = encode(b, command(i))
	}
	b.ResetTimer()
	for i, c := range list {
		m.Apply(uint64(i), c)
	}
}

func BenchmarkApply(b *testing.B) {
	b.Run("change", func(b *testing.B) {
		benchmarkApply(b, func(n int) *schema.Command {
			return changeAt(startMS, issue(put(model("m")), fmt.Sprint("c", n), uint64(n)))
		})
	})
	b.Run("claim", func(b *testing.B) { benchmarkApply(b, numberedClaim) })
	b.Run("claim and settle", func(b *testing.B) {
		benchmarkApply(b, func(n int) *schema.Command {
			c := numberedClaim(n / 2)
			if r := c.GetClaim(); n%2 == 1 {
				s := settleAt(c.GetNowMs(), r.GetAttemptId(), done, false)
				s.GetSettle().Key, s.GetSettle().Holder = r.GetKey(), r.GetHolder()
				return s
			}
			return c
		})
	})
}

func numberedClaim(n int) *schema.Command {
	c := claimAt(startMS+int64(n), fmt.Sprintf("attempt-%016d", n), "0123456789abcdef0123456789abcdef")
	c.GetClaim().Key.Key = fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012d", n)
	return c
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		m := newMachine(b)
		for i := range n {
			m.Apply(1, encode(b, numberedClaim(i)))
		}
		snapshot, err := m.Snapshot()
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("save/%d", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = m.Snapshot()
			}
			b.ReportMetric(float64(len(snapshot)), "snapshot-B")
		})
		b.Run(fmt.Sprintf("locked part of save/%d", n), func(b *testing.B) {
			for b.Loop() {
				m.save()
			}
		})
		b.Run(fmt.Sprintf("restore/%d", n), func(b *testing.B) {
			for b.Loop() {
				assert.NilError(b, m.Restore(snapshot))
			}
		})
	}
}

// BenchmarkExpiredKeys measures the snapshot size per key of an expired claim.
func BenchmarkExpiredKeys(b *testing.B) {
	m := newMachine(b)
	for i := range 10_000 {
		m.Apply(1, encode(b, numberedClaim(i)))
	}
	m.Apply(1, encode(b, &schema.Command{NowMs: startMS + 10*dayMS}))
	for b.Loop() {
		_, _ = m.Snapshot()
	}
	snapshot, err := m.Snapshot()
	assert.NilError(b, err)
	b.ReportMetric(float64(len(snapshot))/10_000, "snapshot-B/key")
}

// targetConfig is a configuration of the target size: 2,300 accounts, 37 models,
// 18 data centres, 10,000 engines, and a legacy alias for every engine and account.
func targetConfig(b *testing.B) *schema.ConfigView {
	m, err := New(Config{Schemes: []string{"catalog", "legacy", "site"}})
	assert.NilError(b, err)
	n := 0
	add := func(o *schema.Object, alias bool) {
		changes := []*schema.Change{put(o)}
		if alias {
			changes = append(changes, &schema.Change{Action: &schema.Change_PutAlias{PutAlias: &schema.Alias{
				Scheme: "legacy", Name: "L-" + o.GetId(), Kind: o.GetKind(), Target: o.GetId()}}})
		}
		for _, c := range changes {
			n++
			assert.Equal(b, apply(b, m, changeAt(startMS, issue(c, fmt.Sprint("c", n), 0))).GetChange().GetOutcome(), accepted)
		}
	}
	for i := range 37 {
		add(model(fmt.Sprintf("model-%02d", i)), true)
	}
	for i := range 18 {
		add(dataCentre(fmt.Sprintf("dc-%02d", i), fmt.Sprintf("region-%d", i%7)), true)
	}
	for i := range 2_300 {
		add(account(fmt.Sprintf("account-%04d", i), fmt.Sprint(i), fmt.Sprint(i, "b")), true)
	}
	for i := range 10_000 {
		add(engine(fmt.Sprintf("engine-%05d", i), fmt.Sprintf("model-%02d", i%37)), true)
	}
	return m.ConfigView(0)
}

func BenchmarkView(b *testing.B) {
	c := targetConfig(b)
	wire, err := proto.Marshal(c)
	assert.NilError(b, err)
	heap := func() float64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return float64(s.HeapAlloc)
	}
	before := heap()
	decoded := &schema.ConfigView{}
	assert.NilError(b, proto.Unmarshal(wire, decoded))
	v, err := NewView(decoded)
	assert.NilError(b, err)
	heapBytes := heap() - before
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			_, _ = NewView(decoded)
		}
		b.ReportMetric(float64(len(wire)), "wire-B")
		b.ReportMetric(heapBytes, "heap-B")
	})
	b.Run("update one", func(b *testing.B) {
		c := &schema.ConfigView{Revision: decoded.Revision + 1, BaseRevision: decoded.Revision, Objects: decoded.Objects[:1]}
		for b.Loop() {
			_, _ = v.Update(c)
		}
		b.ReportMetric(float64(proto.Size(c)), "wire-B")
	})
	b.Run("account by key", func(b *testing.B) {
		for b.Loop() {
			v.AccountByKey("77")
		}
	})
}
