// Command standin plays the cases of the review that are scripts. It starts the hosts as processes, and store, targets and clients itself.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases holds the cases by the number of their folder. Each returns a description of each break of the rule.
var cases = map[string]func(*fleet) ([]string, error){
	"evacuated": playEvacuatedTwice,
	"refused":   playFailedOrders,
}

// main plays the case named by the first argument and writes record.txt into the folder named by the second one. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*fleet) ([]string, error), folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.stop()
		os.Exit(2)
	}()
	breaks, err := run(f)
	if err != nil {
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range breaks {
		r.add("BROKEN %s", b)
	}
	r.add("%d breaks", len(breaks))
	fmt.Printf("%d breaks\n", len(breaks))
	if len(breaks) > 0 {
		return 1
	}
	return 0
}
