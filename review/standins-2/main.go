package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// main plays the case that the first argument names and writes the record to the second.
func main() {
	cases := map[string]func(w *world) int{"cancel": playCancel, "config": playConfig, "dropped": playDropped, "drain": playDrain, "relay": playRelay, "restart": playRestart}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[2], cases[os.Args[1]]))
}

func play(record string, f func(w *world) int) int {
	w, err := newWorld(record, 3, 11)
	if w == nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	if err == nil {
		w.publish(1, route("check"), route("old"))
		err = w.awaitReady()
	}
	if err != nil {
		w.logf("the case cannot run: %v", err)
		return failed
	}
	code := f(w)
	w.logf("%s", []string{"the rule held", "the rule was broken", "the case could not run"}[code])
	return code
}
