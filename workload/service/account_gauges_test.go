package service

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/telemetry"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Guards against gauges of accounts that are no longer configured or no longer this instance's to
// report, and against label values without a bound.
func TestAccountGaugesAreReplacedAndBounded(t *testing.T) {
	m := telemetry.New()
	scrape := func() string {
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		return w.Body.String()
	}
	m.SetAccountGauges(accountGauges(map[domain.AccountID]control.AccountStatus{"old": {Level: 2}}))
	if !strings.Contains(scrape(), `cobalttide_account{account="old",quantity="level"} 2`) {
		t.Fatalf("no gauge of the account in %s", scrape())
	}
	many := map[domain.AccountID]control.AccountStatus{}
	for i := range 1500 {
		many[domain.AccountID(fmt.Sprintf("a%04d", i))] = control.AccountStatus{Waiting: 1}
	}
	m.SetAccountGauges(accountGauges(many))
	text := scrape()
	if n := strings.Count(text, `quantity="waiting_tasks"`); n != 1000 || strings.Contains(text, `account="old"`) {
		t.Fatalf("gauges of %d accounts, old: %t", n, strings.Contains(text, `account="old"`))
	}
	m.SetAccountGauges(nil)
	if strings.Contains(scrape(), "cobalttide_account{") {
		t.Fatal("gauges remain after the planner's end")
	}
}
