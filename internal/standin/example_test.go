package standin_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

func ExampleEngine() {
	e := &standin.Engine{Name: "e1", DataCentre: "leon", Models: []engine.ModelRef{{Model: "guide", Version: "1"}}}
	if err := e.Listen(); err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error)
	go func() { done <- e.Run(ctx) }()

	body := strings.NewReader(`{"model":"guide","prompt":"which needle fits","test_length":1}`)
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Addr()+"/v1/completions", body)
	r.Header.Set("X-Request-Id", "r1")
	r.Header.Set("X-Generation-Id", "g1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		fmt.Println(err)
		return
	}
	answer, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	fmt.Printf("%s", answer)
	cancel()
	fmt.Println(<-done)
	// Output:
	// data: {"request_id":"r1","generation_id":"g1","index":0,"token":"5heql ","finish_reason":"stop"}
	//
	// data: [DONE]
	//
	// <nil>
}
