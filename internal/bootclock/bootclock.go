// Package bootclock provides a monotonic clock that keeps running while the instance is suspended. The clock of the
// standard library does not combine both: its wall time may be stepped, and its monotonic time stops during a
// suspension. A process needs such a clock to detect that data read before a suspension is out of date. The package
// keeps no state.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/utils/clock"
)

// Clock is a passive clock. Its times are unrelated to the time of day.
type Clock struct{}

var _ clock.PassiveClock = Clock{}

// Now returns the time since the instance booted, as an offset from the Unix epoch.
func (Clock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it the age of data cannot be determined.
		panic("bootclock: no boot-time clock: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Since returns the time that has passed since t.
func (c Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }
