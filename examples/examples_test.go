package examples

import (
	"io/fs"
	"strings"
	"testing"

	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/conf/spec"
)

// TestExamplesAreWhole checks every document and every settings file.
func TestExamplesAreWhole(t *testing.T) {
	zones := map[string]int{}
	err := fs.WalkDir(Files, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		src, err := Files.ReadFile(path)
		if err != nil {
			return err
		}
		if strings.Contains(path, "entry") {
			_, err := setup.Parse(path, src)
			return err
		}
		s, err := spec.Parse(path, src, 0)
		if err != nil {
			return err
		}
		for _, e := range s.Endpoints() {
			zones[s.Name()+" "+e.Zone()]++
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	const services, zonesEach = 4, 4
	if len(zones) != services*zonesEach {
		t.Errorf("endpoints by service and zone: %v", zones)
	}
}
