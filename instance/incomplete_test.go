package instance_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/instance"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/standin"
	"github.com/cobalttide/cobalttide/standin/client"
	"github.com/cobalttide/cobalttide/state"
)

// failingReads is a way to the platform on which the reads of one stream fail.
type failingReads struct {
	instance.Platform
	stream port.Stream
	// left is how many reads still fail.
	left atomic.Int64
}

func (s *site) failingReads(dc domain.DataCentre, stream port.Stream, reads int64) *failingReads {
	p := &failingReads{Platform: client.New(s.platform.Address, s.platform.Address, dc), stream: stream}
	p.left.Store(reads)
	return p
}

func (p *failingReads) Read(ctx context.Context, stream port.Stream, from int64) (port.Page, error) {
	if stream == p.stream && p.left.Add(-1) >= 0 {
		return port.Page{}, errors.New("connection reset")
	}
	return p.Platform.Read(ctx, stream, from)
}

// Records that the log has dropped are in a snapshot; a read of it that fails does not mean that there were none.
func TestAJobIsKnownWhereTheFirstReadOfItsSnapshotFailed(t *testing.T) {
	s := newSite(t, "north")
	a := s.start("north")
	s.configure()
	a.call(t, "POST", "/v1/jobs", "shop", "", gangBody("early", 1, time.Millisecond))
	a.wait(t, "early", "shop")
	if !a.WriteSnapshots(context.Background()) {
		t.Fatal("no snapshot was written")
	}
	a.call(t, "POST", "/v1/jobs", "shop", "", gangBody("late", 1, time.Millisecond))
	a.wait(t, "late", "shop")
	a.Kill()
	s.platform.Log.Expire(state.JobStream("north"), 3)
	b := s.startOn("north", s.failingReads("north", state.SnapshotStream(state.JobStream("north")), 2))
	for _, id := range []string{"late", "early"} {
		if status := b.wait(t, id, "shop"); status.State != domain.JobCompleted {
			t.Errorf("%s is %s", id, status.State)
		}
	}
}

// An accepted job outlives the replacement of its holders although a newcomer reaches a peer first that holds no copy.
func TestANewcomerTakesCopiesFromEachPeerThatHoldsSome(t *testing.T) {
	s := newSite(t, "north")
	a, b, c := s.start("north"), s.start("north"), s.start("north")
	s.configure()
	a.call(t, "POST", "/v1/jobs", "shop", "", gangBody("early", 1, time.Millisecond))
	for _, in := range s.instances {
		in.wait(t, "early", "shop")
	}
	s.platform.Log.SetFaults(standin.LogFaults{Down: true})
	b.PeerPool().Block(a.PeersAddress())
	if _, raw, _ := b.call(t, "POST", "/v1/jobs", "shop", "", gangBody("held", 1, time.Millisecond)); !strings.Contains(raw, `"memory"`) {
		t.Fatalf("not accepted in memory: %s", raw)
	}
	late := s.start("north")
	eventually(t, "the newcomer has the state", func() bool {
		_, raw, _ := late.call(t, "GET", "/v1/jobs/early", "shop", "", "")
		return strings.Contains(raw, `"completed"`)
	})
	b.Kill()
	c.Kill()
	s.platform.Log.SetFaults(standin.LogFaults{})
	eventually(t, "both acceptances are in the log", func() bool { return s.accepted() == 2 })
}
