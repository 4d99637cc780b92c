package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

func Example() {
	self := identity(1, "a1")
	soleVoter := ledger.Membership{Members: []ledger.Member{{ID: self, Address: "http://h1", Voter: true}}}
	r, err := ledger.New(ledger.Config{Self: self, Random: rand.New(rand.NewPCG(1, 1))},
		ledger.PersistentState{Snapshot: ledger.Snapshot{Index: 1, Term: 1, Membership: soleVoter}}, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	r.Tick(time.Second)
	index, term, err := r.Propose(time.Second, []byte("put"))
	fmt.Println(index, term, err)
	for rd := r.Ready(); !rd.Empty(); rd = r.Ready() {
		// A real driver writes rd to its journal here.
		r.Persisted(rd, nil)
		for _, e := range rd.Committed {
			fmt.Printf("apply %d %q\n", e.Index, e.Data)
		}
	}
	// Output:
	// 3 2 <nil>
	// apply 2 ""
	// apply 3 "put"
}
