//go:build review

package main

import (
	"fmt"
	"os"
)

// cases are the cases by name, registered by their files. Each returns whether its rule was broken.
var cases = map[string]func(r *rig) (broken bool, err error){}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case; its record goes to the folder.
func play(name, folder string) int {
	r, err := newRig(folder)
	if err != nil {
		fmt.Println("can't run:", err)
		return exitNotRun
	}
	defer r.close()
	broken, err := cases[name](r)
	switch {
	case err != nil:
		r.note("can't run: %v", err)
		fmt.Println("can't run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken; see record.txt")
		return exitBroken
	default:
		fmt.Println("the rule held")
		return exitHeld
	}
}
