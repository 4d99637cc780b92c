package admin_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"

	"github.com/alexflint/go-arg"

	"turmericdrum.org/turmericdrum/internal/admin"
	"turmericdrum.org/turmericdrum/internal/control"
	"turmericdrum.org/turmericdrum/internal/control/controltest"
	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

func Example() {
	machine, err := registry.New(registry.Config{Schemes: []string{"legacy"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	s := &control.Server{Log: &controltest.Log{Machine: machine}, Machine: machine, BootstrapKey: rpc.HashKey("op")}
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	for _, line := range [][]string{
		{"--command-id", "1", "put", "data-centre", "leon-1", "--region", "leon"},
		{"show", "data-centre", "leon-1"},
	} {
		c := &admin.Command{}
		p, err := arg.NewParser(arg.Config{IgnoreEnv: true}, c)
		if err != nil {
			fmt.Println(err)
			return
		}
		if err := p.Parse(append([]string{"--server", srv.URL, "--key", "op"}, line...)); err != nil {
			fmt.Println(err)
			return
		}
		if err := c.Run(context.Background(), os.Stdout); err != nil {
			fmt.Println(err)
		}
	}
	// Output:
	// accepted at revision 1 (command 1)
	// ID      REVISION  SPECIFICATION          ALIASES
	// leon-1  1         region=leon out=false
}
