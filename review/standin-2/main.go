//go:build review

// Command standin-2 plays the cases of the second review that are scripts. It starts the
// programs of this repository as separate processes on loopback addresses, with stand-ins
// for the platform's store and routers, the hosts and the clients.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"foreign-entry": foreignEntry,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	d, err := newDeployment(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	broken, err := cases[name](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		d.record.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, name+": could not run:", err)
		return 2
	case broken:
		fmt.Println(name + ": the rule was broken")
		return 1
	default:
		fmt.Println(name + ": the rule held")
		return 0
	}
}
