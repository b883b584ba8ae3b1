// Command standins-3 runs the cases of the third review that are scripts. Each case starts the
// programs of the deploy file as processes on loopback addresses, beside a stand-in store and
// stand-in runners, and writes a record.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file of the record")
	programs := flag.String("programs", "target", "folder of the programs of the deploy file")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	keep := flag.Bool("keep", false, "keep the settings and logs of the processes")
	flag.Parse()
	os.Exit(runCase(*name, *recordPath, *programs, *trouble, *keep))
}

func runCase(name, recordPath, programs string, trouble, keep bool) int {
	cases := map[string]func(*deployment, bool) (int, error){
		"zone-loss": lostZone, "node-cut": cutNode, "set-back": setBack, "host-twice": restartTwice,
	}
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return noRun
	}
	dir, err := os.MkdirTemp("", "standins-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	if keep {
		fmt.Fprintln(os.Stderr, "logs are in", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	programs, err = filepath.Abs(programs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	log, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	defer log.close()
	d := newDeployment(dir, programs, log)
	defer d.close()
	code, err := f(d, trouble)
	if err != nil {
		log.event("the case could not run: %v", err)
		return noRun
	}
	log.event("exit code %d", code)
	return code
}
