package clock

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// allowedReadings lists by file how many readings of the runtime's clock are allowed, and
// why it does no harm there that this clock stops while the machine is suspended.
var allowedReadings = map[string]struct {
	readings int
	why      string
}{
	"workload/service/orders.go":      {3, "how long one call took"},
	"workload/service/sent_away.go":   {1, "the rest of a caller's deadline, which is in the runtime's time"},
	"workload/service/states.go":      {1, "the rest of a caller's deadline, which is in the runtime's time"},
	"workload/service/plan_writes.go": {3, "how long an append took"},
	"workload/service/planner.go":     {7, "how long a round and a write took; the time of day"},
	"workload/service/committer.go":   {2, "how long one append took"},
	"workload/service/suspension.go":  {3, "compared with the clock for ages"},
	"workload/service/members.go":     {2, "a pause at startup"},
	"workload/service/follower.go":    {2, "the pause between two reads"},
	"workload/service/service.go":     {1, "the rest of a caller's deadline"},
	"workload/service/retention.go":   {1, "the time of day"},
	"platform/writes.go":              {7, "the timeout of one call: a suspension makes the call seem shorter, so it is not repeated sooner"},
	"platform/store.go":               {5, "how long one call took"},
	"platform/front.go":               {4, "how long one call took; a caller's deadline; the time of day"},
	"platform/router.go":              {10, "pauses of failed routes: a suspension only prolongs them"},
}

var clockReading = regexp.MustCompile(`time\.(Now|Since|Until)\(`)

// Decisions about ages, leases and authority must use the clock that includes suspended
// time. Guards against new readings of the runtime's clock that are not in allowedReadings
// with a reason.
func TestRuntimeClockReadingsAreAllowlisted(t *testing.T) {
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
			if n := len(clockReading.FindAll(text, -1)); n > 0 {
				found[strings.TrimPrefix(filepath.ToSlash(path), "../../")] = n
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for file, n := range found {
		if n != allowedReadings[file].readings {
			t.Errorf("%s reads the runtime's clock %d times, want %d", file, n, allowedReadings[file].readings)
		}
	}
	for file, known := range allowedReadings {
		if found[file] == 0 {
			t.Errorf("%s no longer reads the runtime's clock (%s)", file, known.why)
		}
	}
}
