package service

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/internal/clock"
)

// firstRead is the read of the newest record of each key, page by page. A page
// that was read is kept over a try that fails: an instance on a thin link reads
// what is left, and not all of it again.
type snapshotReader struct {
	entries []Entry
	after   string
	// pages were read; began is when the first one was asked for, and end where
	// the topic ended then. What changes meanwhile comes after it.
	pages int
	began time.Time
	end   int64
}

// read goes on to the last page. Nothing of it may be acted on before: the
// records of one job may be on several pages.
func (r *snapshotReader) read(ctx context.Context, log Log, topic Topic, ages clock.Clock) error {
	for {
		asked := ages.Now()
		page, err := log.Newest(ctx, topic, r.after)
		if err != nil {
			return err
		}
		if page.More && page.After == r.after {
			return errors.Mark(errors.Newf("topic %s has no key after %q but says that more follow", topic, r.after), ErrMalformed)
		}
		if r.pages == 0 {
			r.began, r.end = asked, page.End
		}
		r.pages++
		r.entries = append(r.entries, page.Entries...)
		r.after = page.After
		if !page.More {
			return nil
		}
	}
}
