package state

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/standin"
)

// faultyLog fails the append with number loseNth and corrupts the record of the
// one with number corruptNth.
type faultyLog struct {
	*standin.Log
	appends    int
	loseNth    int
	corruptNth int
}

func (l *faultyLog) Append(ctx context.Context, s port.Stream, records []port.Record) (int64, error) {
	l.appends++
	switch l.appends {
	case l.loseNth:
		return 0, errors.New("lost")
	case l.corruptNth:
		records[0].Data = []byte(strings.Replace(string(records[0].Data), `"data":"`, `"data":"AAAA`, 1))
	}
	return l.Log.Append(ctx, s, records)
}

func TestTornOrCorruptSnapshotFallsBackToPreviousOne(t *testing.T) {
	ctx := context.Background()
	big := strings.Repeat("x", 3*maxChunkBytes)
	for _, fault := range []struct{ lose, spoil int }{{lose: 7}, {lose: 10}, {spoil: 8}} {
		log := &faultyLog{Log: standin.NewLog(0)}
		var got string
		if _, err := ReadSnapshot(ctx, log, stream, &got); !errors.Is(err, ErrNoSnapshot) {
			t.Fatalf("an empty log: %v, want ErrNoSnapshot", err)
		}
		if err := WriteSnapshot(ctx, log, stream, "first", 5, "first"+big); err != nil {
			t.Fatal(err)
		}
		log.loseNth, log.corruptNth = fault.lose, fault.spoil
		_ = WriteSnapshot(ctx, log, stream, "second", 9, "second"+big) // damaged by the fault
		offset, err := ReadSnapshot(ctx, log, stream, &got)
		if err != nil || offset != 5 || !strings.HasPrefix(got, "first") {
			t.Errorf("%+v: offset %d, %.10s, %v", fault, offset, got, err)
		}
		log.loseNth, log.corruptNth = 0, 0
		if err := WriteSnapshot(ctx, log, stream, "third", 12, "third"+big); err != nil {
			t.Fatal(err)
		}
		if offset, err := ReadSnapshot(ctx, log, stream, &got); err != nil || offset != 12 || !strings.HasPrefix(got, "third") {
			t.Errorf("%+v: offset %d, %.10s, %v", fault, offset, got, err)
		}
	}
}
