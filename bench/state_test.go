package bench

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/membership"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/requests/attempt"
	"github.com/cobalttide/cobalttide/state"
)

func jobRecords(n int) []port.Record {
	out := make([]port.Record, 0, n)
	for i := range n {
		job := domain.Job{
			ID: domain.JobID(fmt.Sprintf("job-%06d", i)), Account: "repair-shops", Class: "restock-forecast", DataCentre: "tyseley-hall",
			Shape:    domain.Shape{Tasks: 4, PerTask: domain.Resources{Accelerators: 1, CPU: 8, MemoryMiB: 16_000}, Adjacency: domain.SameRack},
			Estimate: domain.Duration(time.Hour), Submitted: time.Unix(1_000_000, 0), Payload: `{"run": "1h"}`,
		}
		record, err := state.NewRecord(fmt.Sprint("accepted/", i), state.KindAccepted, state.Accepted{Job: job, Digest: "0123456789abcdef"})
		if err != nil {
			panic(err) // jobs contain only types that can be marshalled
		}
		out = append(out, record)
	}
	return out
}

var stateSizes = []int{500, 1000, 2000, 5000, 10000}

// BenchmarkRecovery measures how long an empty instance takes to fold all jobs, from the log's
// records and from a peer's image.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range stateSizes {
		records := jobRecords(n)
		full := state.NewJobs()
		for i, record := range records {
			if err := full.FoldEntry(port.Entry{Offset: int64(i), Record: record}); err != nil {
				b.Fatal(err)
			}
		}
		raw, err := json.Marshal(full.Image())
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("log/jobs=%d", n), func(b *testing.B) {
			for range b.N {
				jobs := state.NewJobs()
				for i, record := range records {
					if err := jobs.FoldEntry(port.Entry{Offset: int64(i), Record: record}); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
		b.Run(fmt.Sprintf("image/jobs=%d", n), func(b *testing.B) {
			b.ReportMetric(float64(len(raw))/float64(n), "image-B/job")
			for range b.N {
				var image state.Image
				if err := json.Unmarshal(raw, &image); err != nil || !state.NewJobs().Load(image) {
					b.Fatal("the image can't be decoded or loaded")
				}
			}
		})
	}
}

// heapGrowth returns the number of heap bytes that the result of build keeps alive.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkMemory measures the memory used per job, attempt and member.
func BenchmarkMemory(b *testing.B) {
	for _, n := range stateSizes {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			records := jobRecords(n)
			for range b.N {
				heap := heapGrowth(func() any {
					jobs := state.NewJobs()
					for _, record := range records {
						if err := jobs.Fold(record); err != nil {
							b.Fatal(err)
						}
					}
					return jobs
				})
				b.ReportMetric(heap/float64(n), "B/job")
			}
		})
		b.Run(fmt.Sprintf("attempts=%d", n), func(b *testing.B) {
			for range b.N {
				heap := heapGrowth(func() any { return newLedger(b, n) })
				b.ReportMetric(heap/float64(n), "B/attempt")
			}
		})
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				heap := heapGrowth(func() any {
					t := membership.NewTable(membership.Member{ID: "self"}, membership.DefaultOptions())
					for i := range n {
						t.Merge([]membership.Member{{ID: domain.InstanceID(fmt.Sprint("i", i)), DataCentre: "dc", Address: fmt.Sprint("10.0.0.1:", i), State: membership.Alive}}, time.Unix(1, 0))
					}
					return t
				})
				b.ReportMetric(heap/float64(n), "B/member")
			}
		})
	}
}

func newLedger(b *testing.B, n int) *attempt.Ledger {
	ledger := attempt.NewLedger()
	for i := range n {
		record, err := state.NewRecord(fmt.Sprint("i/", i), attempt.KindAttempt, attempt.Attempt{Key: attempt.Key{Account: "a", ID: fmt.Sprint("request-", i)}, Digest: "0123456789abcdef0123456789abcdef", Instance: "i"})
		if err != nil {
			b.Fatal(err)
		}
		if err := ledger.FoldEntry(port.Entry{Offset: int64(i), Record: record}); err != nil {
			b.Fatal(err)
		}
	}
	return ledger
}

// BenchmarkConfig measures folding one change into configurations of increasing size, and the
// encoded size of a change.
func BenchmarkConfig(b *testing.B) {
	for _, accounts := range []int{4, 20, 100, 230, 460} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			declared := configuration.Declarations{Accounts: map[domain.AccountID]domain.ClientAccount{}}
			for i := range accounts {
				declared.Accounts[domain.AccountID(fmt.Sprint("account-", i))] = domain.ClientAccount{
					Weight: 1, RequestsPerSecond: 100, TokenHashes: []string{"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"},
				}
			}
			changed := declared.Clone()
			one := changed.Accounts["account-1"]
			one.Weight = 2
			changed.Accounts["account-1"] = one
			change := configuration.Diff(declared, changed)
			raw, err := json.Marshal(change)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(raw)), "B/change")
			store := configuration.NewStore()
			store.Adopt(configuration.Snapshot{Version: 1, Declarations: declared})
			for i := range b.N {
				change.ID, change.Base = fmt.Sprint(i), configuration.Version(i+1)
				if !store.Fold(int64(i), change).Accepted {
					b.Fatal("the change was not accepted")
				}
			}
		})
	}
}
