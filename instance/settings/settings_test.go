package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/cobalttide/cobalttide/configuration"
)

// Guards against reports that stop at the first mistake: each of three mistakes in
// one file is reported, with its place and remedy.
func TestEveryMistakeIsReportedInOneRun(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "three-mistakes.json"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Parse("three-mistakes.json", raw)
	if err == nil {
		t.Fatal("a settings file with three mistakes is accepted")
	}
	goldie.New(t).Assert(t, "three-mistakes", []byte(err.Error()+"\n"))
}

func TestUnknownFieldIsRefusedWithItsLine(t *testing.T) {
	_, err := Parse("f", []byte("{\n  \"instance\": \"i\",\n  \"data_center\": \"x\"\n}"))
	var problems configuration.Problems
	if !errors.As(err, &problems) || problems[0].Field != "data_center" || problems[0].Line != 3 {
		t.Fatalf("%+v", err)
	}
}

func TestCommittedSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../deployments/*/settings/*.json")
	if err != nil || len(files) != 12 {
		t.Fatalf("%d settings files, want 12: %v", len(files), err)
	}
	for _, file := range files {
		if _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
}

// Guards against errors that don't help: any text parses as settings or gives a
// list of problems with remedies and valid lines.
func FuzzSettings(f *testing.F) {
	f.Add(`{"instance": "i", "listen": {"callers": "127.0.0.1:1"}, /* c */ "limits": {"body_bytes": 1},}`)
	f.Add(`{"listen": 3}`)
	f.Add(``)
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse("f", []byte(text))
		var problems configuration.Problems
		if err != nil && (!errors.As(err, &problems) || len(problems) == 0) {
			t.Fatalf("not a list of problems: %v", err)
		}
		for _, p := range problems {
			if p.Remedy == "" || p.Line < 0 || p.Line > 1+strings.Count(text, "\n") {
				t.Fatalf("a problem without a remedy or with an invalid line: %+v", p)
			}
		}
	})
}
