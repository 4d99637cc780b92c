package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases holds the cases by name. They return one of the exit codes.
var cases = map[string]func(rec *record, trouble bool) (int, error){
	"unstopped-source": unstoppedSource,
	"closing-sockets":  closingSockets,
	"short-fields":     shortFields,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		if err := engineProcess(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(notRun)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	rec.printf("exit status %d", code)
	fmt.Println(os.Args[1], "exit status", code)
	os.Exit(code)
}
