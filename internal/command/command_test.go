package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func runCommand(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	env := Env{Out: &stdout, Err: &stderr, Getenv: func(string) string { return "" }}
	code = Main(context.Background(), env, args)
	return code, stdout.String(), stderr.String()
}

func TestExitCodesAndErrorHints(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken")
	if err := os.Mkdir(broken, 0o700); err != nil {
		t.Fatal(err)
	}
	text := `{"accounts": {"a": {"weight": 0, "requests_per_second": 1, "token_hashes": []}}, "operator_token_hashes": []}`
	if err := os.WriteFile(filepath.Join(broken, "a.json"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		args []string
		code int
		says string
	}{
		{"no subcommand", nil, ExitUsage, "Subcommands"},
		{"unknown subcommand", []string{"aply"}, ExitUsage, "cobaltctl -h"},
		{"help", []string{"apply", "-h"}, ExitUsage, "cobaltctl apply deployments/"},
		{"missing operand", []string{"validate"}, ExitUsage, "cobaltctl validate -h"},
		{"no such pattern", []string{"experiment", "-pattern", "nothing"}, ExitFailed, "name a file or one of"},
		{"no such policy", []string{"experiment", "-a", "luck"}, ExitUsage, "without=MECHANISM"},
		{"no such mechanism", []string{"experiment", "-a", "without=luck"}, ExitUsage, "name some of"},
		{"no lines to report on", []string{"report", os.DevNull}, ExitFailed, "name the files"},
		{"no load to record", []string{"record", os.DevNull}, ExitFailed, "name logs of instances"},
		{"no address", []string{"status"}, ExitUsage, "COBALTTIDE_ADDRESS"},
		{"wrong output", []string{"validate", "x", "-o", "xml"}, ExitUsage, "json or table"},
		{"no instance there", []string{"job", "j", "-address", "127.0.0.1:1"}, ExitUnknown, "another instance"},
		{"bad declarations", []string{"validate", broken}, ExitFailed, "accounts.a.weight"},
		{"no declarations", []string{"validate", filepath.Join(broken, "none")}, ExitFailed, "*.json"},
		{"good declarations", []string{"validate", "../../deployments/midlands/declarations"}, ExitOK, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, _, errs := runCommand(c.args...)
			if code != c.code || !strings.Contains(errs, c.says) {
				t.Errorf("exit code %d, want %d; said %q", code, c.code, errs)
			}
		})
	}
}

func TestEverySubcommandHasASummaryAndAnExample(t *testing.T) {
	for name, sub := range subcommands {
		if sub.summary == "" || !strings.HasPrefix(sub.example, "cobaltctl "+name) {
			t.Errorf("%s: %q, %q", name, sub.summary, sub.example)
		}
	}
}
