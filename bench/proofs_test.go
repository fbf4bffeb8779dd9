package bench

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against test names in docs/PROOFS.md that no longer exist after a test is renamed or
// removed.
func TestEveryTestNamedInProofsExists(t *testing.T) {
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
		t.Fatalf("docs/PROOFS.md names only %d tests, want at least 20", len(names))
	}
	for _, name := range names {
		if !defined[name] {
			t.Errorf("docs/PROOFS.md names %s, which does not exist", name)
		}
	}
}
