package events

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// Guards against an event that the code can write and the operators' page does not
// explain.
func TestEveryEventIsOnTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range []string{"names.go", "../workload/control/events.go"} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`= "([a-z-]+)"`).FindAllStringSubmatch(string(text), -1) {
			if !strings.Contains(string(page), "| `"+m[1]+"` |") {
				t.Errorf("docs/OPERATIONS.md does not explain %s", m[1])
			}
		}
	}
}
