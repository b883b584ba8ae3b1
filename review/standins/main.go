// Command standins plays the cases of the review that are scripts: it starts the project's own
// programs, with stand-ins for clients, runners and the store, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	codeHeld = iota
	codeBroken
	codeNotRun
)

// scenario plays a case. It returns an error if the case could not run.
type scenario func(w *world, trouble bool, keep bool) error

var scenarios = map[string]scenario{
	"lost-agents": lostAgents, "reset-cut": resetCut, "changed-kind": changedKind, "cancelled-again": cancelledAgain, "late-farewell": lateFarewell, "late-start": lateStart,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", "", "the folder for record.txt")
	keep := flag.Bool("keep", false, "keep the temporary folder with the logs")
	flag.Parse()
	run, ok := scenarios[*name]
	if !ok {
		fmt.Println("unknown case", *name)
		return codeNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w := newWorld()
	w.record("case %s, with the disruption: %v", *name, trouble)
	err := run(w, trouble, *keep)
	if err != nil {
		w.record("the case could not run: %v", err)
	}
	w.record("the rule was broken %d times", w.brokenCount())
	if writeErr := w.write(filepath.Join(*dir, "record.txt")); writeErr != nil {
		err = writeErr
	}
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		return codeNotRun
	case w.brokenCount() > 0:
		fmt.Printf("broken %d times; the first: %s\n", w.brokenCount(), w.broken[0])
		return codeBroken
	}
	fmt.Println("the rule held")
	return codeHeld
}
