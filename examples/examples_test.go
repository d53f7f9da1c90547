package examples

import (
	"io/fs"
	"strings"
	"testing"

	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/conf/spec"
)

// TestExamplesAreValid parses every document and every settings file, and checks that
// each service has endpoints in each zone.
func TestExamplesAreValid(t *testing.T) {
	counts := map[string]int{}
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
			counts[s.Name()+" "+e.Zone()]++
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	const services, zonesPerService = 4, 4
	if len(counts) != services*zonesPerService {
		t.Errorf("got endpoints by service and zone %v, want 4 services with endpoints in 4 zones each", counts)
	}
}
