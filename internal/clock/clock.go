// Package clock has the clock by which ages, leases and authority are counted. The
// runtime's own reading stands still while the machine is suspended, so that what was
// read, or was granted, seconds ago looks fresh on waking.
package clock

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Clock tells a time that only differences are taken of. A nil Clock is Steady.
type Clock func() time.Time

// Steady is the runtime's clock. It stands still in a suspension.
func Steady() time.Time { return time.Now() }

// Now returns the clock's time.
func (c Clock) Now() time.Time {
	if c == nil {
		return Steady()
	}
	return c()
}

// Since returns the time that has passed since an earlier reading of the clock.
func (c Clock) Since(earlier time.Time) time.Duration { return c.Now().Sub(earlier) }

// Boot returns the kernel's clock since boot, which counts suspended time. Its readings
// begin at the present time of day and do not follow it when that is set.
func Boot() (Clock, error) {
	first, err := sinceBoot()
	if err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "the clock since boot can't be read"), "allow clock_gettime with CLOCK_BOOTTIME")
	}
	// Without the runtime's reading, so that differences are those of the clock.
	base := time.Now().Round(0).Add(-first)
	return func() time.Time {
		now, err := sinceBoot()
		if err != nil {
			// It could be read at the start, and the kernel does not take that back.
			panic(err)
		}
		return base.Add(now)
	}, nil
}

func sinceBoot() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
