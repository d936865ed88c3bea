// Package uptime is a clock that never jumps and counts time in which the instance was suspended. The standard clock
// does one or the other: its wall time may be stepped, and its monotonic time stands still during a suspension. A
// process that was frozen must find that what it believed is old.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/utils/clock"
)

// Clock is a passive clock. Its times have no relation to the time of day.
type Clock struct{}

var _ clock.PassiveClock = Clock{}

// Now returns the time since the start of the instance as a time after the Unix epoch.
func (Clock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no freshness can be judged.
		panic("uptime: no boot-time clock: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Since returns the time that has passed since t.
func (c Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }
