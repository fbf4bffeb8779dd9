package service

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/internal/clock"
)

// snapshotReader reads the newest record of each key, page by page. Pages that were read are
// kept when a later read fails, so that an instance on a slow link continues and does not start
// again.
type snapshotReader struct {
	entries []Entry
	after   string
	// pages counts the pages that were read. began is when the first one was requested, and end
	// is the end of the topic at that time: later changes follow from there.
	pages int
	began time.Time
	end   int64
}

// read reads up to the last page. Nothing may be acted on before that, since the records of one
// job may be on several pages.
func (r *snapshotReader) read(ctx context.Context, log Log, topic Topic, ages clock.Clock) error {
	for {
		requested := ages.Now()
		page, err := log.Newest(ctx, topic, r.after)
		if err != nil {
			return err
		}
		if page.More && page.After == r.after {
			return errors.Mark(errors.Newf("topic %s reports more keys after %q but returned none", topic, r.after), ErrMalformed)
		}
		if r.pages == 0 {
			r.began, r.end = requested, page.End
		}
		r.pages++
		r.entries = append(r.entries, page.Entries...)
		r.after = page.After
		if !page.More {
			return nil
		}
	}
}
