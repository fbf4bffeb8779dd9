package clock

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Readings of the runtime's clock, which stands still in a suspension, by file: how many
// there may be, and why a suspension does no harm there.
var bare = map[string]struct {
	readings int
	why      string
}{
	"workload/service/orders.go":  {3, "how long one call took"},
	"workload/service/states.go":  {1, "what is left of a caller's time, which is the runtime's"},
	"workload/service/planner.go": {10, "how long a round and a write took; the time of day"},
	"workload/service/commit.go":  {2, "how long one append took"},
	"workload/service/waking.go":  {3, "held against the clock of ages"},
	"workload/service/members.go": {2, "a pause at the start"},
	"workload/service/follow.go":  {2, "the pause between two reads"},
	"workload/service/service.go": {1, "what is left of a caller's time"},
	"workload/service/forget.go":  {1, "the time of day"},
	"platform/writes.go":          {7, "patience with one call: a suspension makes it look shorter, and the call is not repeated sooner"},
	"platform/store.go":           {5, "how long one call took"},
	"platform/front.go":           {3, "how long one call took; the time of day"},
	"platform/router.go":          {10, "rests of ways that failed: they last longer by a suspension"},
}

var reading = regexp.MustCompile(`time\.(Now|Since|Until)\(`)

// Whatever decides by an age, a lease or authority reads the clock that counts suspended
// time. A reading of the runtime's is added here with its reason, or not at all.
func TestAgesAreNotCountedByTheRuntimesClock(t *testing.T) {
	found := map[string]int{}
	for _, root := range []string{"workload", "platform"} {
		err := filepath.WalkDir(filepath.Join("..", "..", root), func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if d.IsDir() && (d.Name() == "standin" || d.Name() == "demo" || d.Name() == "soak" || d.Name() == "replay") {
				return fs.SkipDir
			}
			if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			if n := len(reading.FindAll(text, -1)); n > 0 {
				found[strings.TrimPrefix(filepath.ToSlash(path), "../../")] = n
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for file, n := range found {
		if n != bare[file].readings {
			t.Errorf("%s reads the runtime's clock %d times, %d are explained", file, n, bare[file].readings)
		}
	}
	for file, known := range bare {
		if found[file] == 0 {
			t.Errorf("%s reads the runtime's clock no more (%s)", file, known.why)
		}
	}
}
