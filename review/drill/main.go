package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases are the cases by name. A case reports whether the rule held. Trouble says whether its disruption happens.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"overspend": overspend,
	"versions":  versions,
	"deadly":    deadly,
	"seeds":     seeds,
	"begun":     begun,
	"lost":      lost,
	"late":      late,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE FOLDER")
		return unable
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	ok, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	result := held
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		result = unable
	case !ok:
		result = broken
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	return result
}

// say writes a line to the record and to the output.
func say(rec *record, format string, args ...any) {
	rec.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
