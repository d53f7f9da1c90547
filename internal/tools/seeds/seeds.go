// Package seeds makes randomised tests the same every time, unless the command
// line says otherwise.
package seeds

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests with a fixed seed and so many checks of each property. It
// is called from TestMain.
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
