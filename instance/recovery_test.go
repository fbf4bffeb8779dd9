package instance_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	cobalttidev1 "github.com/cobalttide/cobalttide/api/cobalttide/v1"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/instance"
	"github.com/cobalttide/cobalttide/planner"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/standin"
	"github.com/cobalttide/cobalttide/standin/client"
	"github.com/cobalttide/cobalttide/state"
)

// failingReads is a client of the platform whose first reads of one stream fail.
type failingReads struct {
	instance.Platform
	stream port.Stream
	// remaining is the number of reads that will still fail.
	remaining atomic.Int64
}

func (s *deployment) failingReads(dc domain.DataCentre, stream port.Stream, reads int64) *failingReads {
	p := &failingReads{Platform: client.New(s.platform.Address, s.platform.Address, dc), stream: stream}
	p.remaining.Store(reads)
	return p
}

func (p *failingReads) Read(ctx context.Context, stream port.Stream, from int64) (port.Page, error) {
	if stream == p.stream && p.remaining.Add(-1) >= 0 {
		return port.Page{}, errors.New("connection reset")
	}
	return p.Platform.Read(ctx, stream, from)
}

// slowReads is a client of the platform whose reads of one stream return one entry
// at a time.
type slowReads struct {
	instance.Platform
	stream port.Stream
	pause  time.Duration
}

func (p *slowReads) Read(ctx context.Context, stream port.Stream, from int64) (port.Page, error) {
	page, err := p.Platform.Read(ctx, stream, from)
	if stream != p.stream || err != nil || len(page.Entries) < 2 {
		return page, err
	}
	time.Sleep(p.pause)
	page.Entries = page.Entries[:1]
	page.Next = page.Entries[0].Offset + 1
	return page, nil
}

// startCount returns how often workers have started a run of the job.
func (s *deployment) startCount(id domain.JobID) int {
	n := 0
	for _, w := range s.platform.Workers() {
		for _, run := range w.Starts() {
			if run.Job == id {
				n++
			}
		}
	}
	return n
}

// memberCount returns the number of gang members that workers run or still report.
func (s *deployment) memberCount() int {
	n := 0
	for _, w := range s.platform.Workers() {
		n += len(w.Members())
	}
	return n
}

// Guards against restarting an ended job: a new planner may have read the job's
// acceptance from the log but not its end yet.
func TestPlannerBehindOnTheLogDoesNotRestartEndedJobs(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, "north")
	a := s.start("north")
	s.configure()
	a.call(t, "POST", "/v1/jobs", "shop", "", gangBody("first", 1, time.Second))
	for i := range 6 {
		id := fmt.Sprint("beside", i)
		a.call(t, "POST", "/v1/jobs", "shop", "", gangBody(id, 1, time.Millisecond))
	}
	for _, id := range []string{"first", "beside5"} {
		a.wait(t, id, "shop")
	}
	eventually(t, "the workers have forgotten what has ended", func() bool { return s.memberCount() == 0 })
	a.Kill()
	jobs := &slowReads{
		Platform: client.New(s.platform.Address, s.platform.Address, "north"),
		stream:   state.JobStream("north"), pause: 500 * time.Millisecond,
	}
	b := s.startWith("north", instance.Options{Platform: jobs})
	eventually(t, "the new instance has the configuration", func() bool { return b.ConfigurationVersion() == 1 })
	if status := b.wait(t, "first", "shop"); status.State != domain.JobCompleted {
		t.Errorf("job first is %s", status.State)
	}
	if n := s.startCount("first"); n != 1 {
		t.Errorf("job first was started %d times, want 1", n)
	}
}

// Guards against ending a job that may run again, because the planner has not read
// the classes yet.
func TestPlannerWithoutConfigurationEndsNoJob(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, "north")
	brief := planner.DefaultOptions()
	brief.Timing.Lease, brief.Authority, brief.Poll = 2*time.Second, time.Second, 500*time.Millisecond
	a := s.startWith("north", instance.Options{Planner: &brief})
	s.configure()
	a.call(t, "POST", "/v1/jobs", "shop", "", gangBody("lost", 1, 3*time.Second))
	eventually(t, "the gang runs", func() bool { return s.startCount("lost") == 1 })
	a.Kill()
	time.Sleep(brief.Timing.Lease + time.Second)
	configuration := s.failingReads("north", state.ConfigurationStream, 6)
	b := s.startWith("north", instance.Options{Platform: configuration, Planner: &brief})
	eventually(t, "the new instance has the configuration", func() bool { return b.ConfigurationVersion() == 1 })
	if status := b.wait(t, "lost", "shop"); status.State != domain.JobCompleted {
		t.Errorf("the job is %s (%s)", status.State, status.Cause)
	}
}

// Guards against losing jobs whose records are only in a snapshot: a failed read of
// the snapshot must not be taken for its absence.
func TestJobIsKnownAfterFailedSnapshotReads(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, "north")
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
	snapshots := s.failingReads("north", state.SnapshotStream(state.JobStream("north")), 2)
	b := s.startWith("north", instance.Options{Platform: snapshots})
	for _, id := range []string{"late", "early"} {
		if status := b.wait(t, id, "shop"); status.State != domain.JobCompleted {
			t.Errorf("job %s is %s", id, status.State)
		}
	}
}

// Guards against losing an accepted job when the instances with copies of its
// record are replaced: a new instance may first reach a peer without a copy.
func TestNewInstanceCopiesHeldRecordsFromAllPeers(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, "north")
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
	eventually(t, "both acceptances are in the log", func() bool { return s.acceptedCount() == 2 })
}

// Guards against a not-found answer for an existing job by an instance that has not
// read all jobs.
func TestNotFoundOnlyAfterAllJobsAreRead(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, "north")
	a := s.start("north")
	s.configure()
	a.call(t, "POST", "/v1/jobs", "shop", "", gangBody("there", 1, time.Millisecond))
	a.wait(t, "there", "shop")
	jobs := s.failingReads("north", state.JobStream("north"), 4)
	a.Kill()
	b := s.startWith("north", instance.Options{Platform: jobs})
	eventually(t, "the new instance has the configuration", func() bool { return b.ConfigurationVersion() == 1 })
	for _, method := range []string{"GET", "DELETE"} {
		if response, _, refusal := b.call(t, method, "/v1/jobs/there", "shop", "", ""); response.StatusCode == http.StatusNotFound {
			t.Errorf("%s before the jobs have been read: %+v", method, refusal)
		}
	}
	b.wait(t, "there", "shop")
	eventually(t, "a job that does not exist is not found", func() bool {
		response, _, _ := b.call(t, "GET", "/v1/jobs/none", "shop", "", "")
		return response.StatusCode == http.StatusNotFound
	})
}

// Guards against an evacuation that is lost when all instances that received the
// order are replaced: an instance that starts later gets it from its peers.
func TestOperatorOrdersReachInstancesThatStartLater(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, "north")
	a := s.start("north")
	s.configure()
	ctx := context.Background()
	if _, err := a.operators().Evacuate(ctx, &cobalttidev1.EvacuateRequest{DataCentre: "north"}); err != nil {
		t.Fatal(err)
	}
	b := s.start("north")
	eventually(t, "the new instance has the configuration", func() bool { return b.ConfigurationVersion() == 1 && b.Ready() })
	eventually(t, "the new instance shows the evacuation", func() bool {
		status, err := b.operators().Status(ctx, &cobalttidev1.StatusRequest{})
		return err == nil && status.EvacuatedMs > 0
	})
	a.Kill()
	b.call(t, "POST", "/v1/jobs", "shop", "", gangBody("waits", 2, time.Millisecond))
	time.Sleep(2 * time.Second)
	if s.hasStarted("waits") {
		t.Error("a gang was started in the evacuated data centre")
	}
}

// Guards against losing a job's result: workers must keep it while the record of
// the job's end is in the memory of one instance only.
func TestGangResultIsKeptWhileItsEndIsOnOneInstanceOnly(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, "north")
	a := s.start("north")
	s.configure()
	a.call(t, "POST", "/v1/jobs", "shop", "", gangBody("ends", 2, 2*time.Second))
	eventually(t, "the start is in the log", func() bool {
		page, err := s.platform.Log.Read(context.Background(), state.JobStream("north"), 0)
		return err == nil && slices.ContainsFunc(page.Entries, func(e port.Entry) bool { return e.Record.Kind == state.KindStarted })
	})
	s.platform.Log.SetFaults(standin.LogFaults{Down: true})
	time.Sleep(6 * time.Second)
	a.Kill()
	s.platform.Log.SetFaults(standin.LogFaults{})
	b := s.start("north")
	if status := b.wait(t, "ends", "shop"); status.State != domain.JobCompleted {
		t.Errorf("the job is %s (%s)", status.State, status.Cause)
	}
	if n := s.startCount("ends"); n != 2 {
		t.Errorf("the two members were started %d times, want 2", n)
	}
}

// Guards against the removal of a class that is in use, by an instance that has not
// read the jobs.
func TestClassIsNotRemovedBeforeItsJobsAreRead(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, "north")
	a := s.start("north")
	s.configure()
	a.call(t, "POST", "/v1/jobs", "shop", "", gangBody("runs", 1, time.Minute))
	eventually(t, "the gang runs", func() bool { return s.startCount("runs") == 1 })
	jobs := s.failingReads("north", state.JobStream("north"), 6)
	a.Kill()
	b := s.startWith("north", instance.Options{Platform: jobs})
	eventually(t, "the new instance has the configuration", func() bool { return b.ConfigurationVersion() == 1 })
	without := declarations()
	delete(without.Classes, "gang")
	raw, err := json.Marshal(without)
	if err != nil {
		t.Fatal(err)
	}
	if version, refusal := b.Apply(context.Background(), string(raw), 1, "second", "test"); refusal == nil {
		t.Errorf("version %d removes the class while a job of it is running", version)
	}
}

// Guards against a repeated change that an instance refuses because it has the
// configuration from a peer instead of the log, and so lacks the outcomes of
// changes.
func TestChangeOutcomeIsKnownToInstancesThatStartLater(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, "north")
	s.start("north")
	s.configure()
	declared := s.failingReads("north", state.ConfigurationStream, 4)
	late := s.startWith("north", instance.Options{Platform: declared})
	eventually(t, "the new instance has the configuration", func() bool { return late.ConfigurationVersion() == 1 })
	raw, err := json.Marshal(declarations())
	if err != nil {
		t.Fatal(err)
	}
	if version, refusal := late.Apply(context.Background(), string(raw), 0, "first", "test"); refusal != nil || version != 1 {
		t.Errorf("repeat of the change that made version 1: version %d, %v", version, refusal)
	}
}
