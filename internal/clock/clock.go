// Package clock provides the clock for ages, leases and authority. The Go runtime's
// monotonic clock stops while the machine is suspended, so that after a resume, data that
// was read or leases that were granted before would seem to be only seconds old.
package clock

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Clock returns a time of which only differences are meaningful. A nil Clock is Steady.
type Clock func() time.Time

// Steady is the Go runtime's clock. It stops while the machine is suspended.
func Steady() time.Time { return time.Now() }

// Now returns the clock's time.
func (c Clock) Now() time.Time {
	if c == nil {
		return Steady()
	}
	return c()
}

// Since returns the time elapsed since an earlier reading of the clock.
func (c Clock) Since(earlier time.Time) time.Duration { return c.Now().Sub(earlier) }

// Boot returns the kernel's CLOCK_BOOTTIME, which includes suspended time. Its readings
// start at the current time of day, but do not follow later changes of the system time.
func Boot() (Clock, error) {
	first, err := readBootTime()
	if err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "read CLOCK_BOOTTIME"), "allow clock_gettime with CLOCK_BOOTTIME")
	}
	// Round(0) strips the monotonic reading, so that differences are those of this clock.
	base := time.Now().Round(0).Add(-first)
	return func() time.Time {
		now, err := readBootTime()
		if err != nil {
			// The first read succeeded, and the kernel does not withdraw the clock later.
			panic(err)
		}
		return base.Add(now)
	}, nil
}

func readBootTime() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
