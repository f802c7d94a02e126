package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// verdict is the result of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
)

// cases holds the cases by number. trouble is false if the run is to go without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (verdict, error){}

// couldNotRun is the exit code of a case that could not run.
const couldNotRun = 2

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: fleet2 CASE PROGRAM FOLDER")
		os.Exit(couldNotRun)
	}
	v, err := runCase(os.Args[1], os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(couldNotRun)
	}
	os.Exit(int(v))
}

// runCase runs a case of a folder with the given program.
func runCase(number, program, folder string) (verdict, error) {
	play := cases[number]
	if play == nil {
		return held, fmt.Errorf("no case %s", number)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return held, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs are in", dir)
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return held, err
	}
	defer r.close()
	f, err := newFleet(program, dir, r)
	if err != nil {
		return held, err
	}
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	v, err := play(f, trouble)
	if err == nil {
		for _, h := range f.hosts {
			if !h.running() {
				return held, fmt.Errorf("host %s has ended: %v", h.name, h.status)
			}
		}
	}
	return v, err
}
