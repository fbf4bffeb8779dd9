package bench

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Every test that docs/PROOFS.md names exists.
func TestEveryNamedProofExists(t *testing.T) {
	page, err := os.ReadFile("../docs/PROOFS.md")
	if err != nil {
		t.Fatal(err)
	}
	defined := map[string]bool{}
	declaration := regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9]+)`)
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		for _, match := range declaration.FindAllStringSubmatch(string(raw), -1) {
			defined[match[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	names := regexp.MustCompile(`Test[A-Z][A-Za-z0-9]+`).FindAllString(string(page), -1)
	if len(names) < 20 {
		t.Fatalf("only %d tests are named", len(names))
	}
	for _, name := range names {
		if !defined[name] {
			t.Errorf("%s is named and does not exist", name)
		}
	}
}
