// Package seeds makes randomized tests reproducible: they run with a fixed seed
// unless the command line sets another.
package seeds

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package that uses rapid, and exits with their status. It
// sets rapid's flags so that it uses a fixed seed, makes the given number of checks of
// each property and writes no files for failed checks. A flag on the command line takes
// precedence. Call Main from TestMain.
func Main(m *testing.M, checks string) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": checks, "rapid.nofailfile": "true"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if set {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err) // the package under test does not use rapid
		}
	}
	os.Exit(m.Run())
}
