//go:build review

// Command standin plays the cases of the review: it starts the project's programs on
// loopback addresses, stands in for the platform, the hosts and the clients, and exits
// with 1 if a rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit ends a case that hangs.
const runLimit = 110 * time.Second

var cases = map[string]func(f *fleet, trouble bool) error{
	"foreign-entry":  foreignEntry,
	"name-collision": nameCollision,
	"large-config":   largeConfig,
	"silent-host":    silentHost,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	r := &recorder{file: file, start: time.Now()}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	f, err := newFleet(r, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	result := make(chan error, 1)
	go func() { result <- cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0") }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-result:
	case <-time.After(runLimit):
		err = fmt.Errorf("the case did not end within %v", runLimit)
	case <-stop:
		err = fmt.Errorf("the case was ended by a signal")
	}
	f.close()
	broken := r.violations()
	switch {
	case err != nil:
		r.printf("RESULT could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case len(broken) > 0:
		r.printf("RESULT broken, %d times", len(broken))
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		return exitBroken
	default:
		r.printf("RESULT held")
		fmt.Println("held")
		return exitHeld
	}
}
