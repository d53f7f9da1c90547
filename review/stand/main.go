package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// trouble is how much disruption a case plays: "0" for none.
var trouble = os.Getenv("TROUBLE")

// scene is a case: the zones of its machines, and what is played. Play returns whether the rule was
// broken, or an error if the case could not run.
type scene struct {
	zones []string
	play  func(f *fleet) (broken bool, err error)
}

// cases are the cases by name.
var cases = map[string]scene{
	"turned-away": {sixMachines, playTurnedAway},
	"versions":    {fiveMachines, playVersions},
	"settings":    {fiveMachines, playSettings},
	"drain":       {fiveMachines, playDrain},
	"split":       {fiveMachines, playSplit},
	"unwritten":   {fiveMachines, playUnwritten},
	"reborn":      {fiveMachines, playReborn},
	"unseen":      {fiveMachines, playUnseen},
	"earlier":     {fiveMachines, playEarlier},
}

func main() { os.Exit(run()) }

// run plays the case that the first argument names, and writes its record to the folder that the
// second one names.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(r, cases[os.Args[1]].zones)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ends
		f.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]].play(f)
	f.close("drill", "era", "origin: listed", "ledger: wrote back", "older copy", "budget: ")
	code := exitHeld
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		code = exitNotRun
	case broken:
		r.say("the rule was broken")
		code = exitBroken
	default:
		r.say("the rule held")
	}
	if err := r.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}
