package journal_test

import (
	"fmt"

	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

func Example() {
	disk := journal.NewMemoryDisk()
	j, _, err := journal.Open(disk, journal.Options{Host: "leon-1", Incarnation: "a1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	err = j.Save(ledger.Ready{Entries: []ledger.Entry{{Index: 1, Term: 1, Data: []byte("put")}}})
	fmt.Println(j.Self(), err, j.Close())
	_, state, err := journal.Open(disk, journal.Options{Host: "leon-1"})
	fmt.Println(string(state.Entries[0].Data), err)
	// Output:
	// leon-1/a1 <nil> <nil>
	// put <nil>
}
