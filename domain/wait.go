package domain

import "time"

// maxExpectedWait bounds ExpectedWait, so that it does not overflow a duration.
const maxExpectedWait = 24 * time.Hour

// ExpectedWait returns how long it takes to serve n requests if each takes the given time and a
// number of them, at least one, are served at once.
func ExpectedWait(n int, each time.Duration, atOnce float64) time.Duration {
	if n <= 0 || each <= 0 {
		return 0
	}
	wait := float64(n) * float64(each) / max(1, atOnce)
	if !(wait < float64(maxExpectedWait)) {
		return maxExpectedWait
	}
	return time.Duration(wait)
}

// WholeSeconds rounds a duration up to the whole seconds of an HTTP header; negative is 0.
func WholeSeconds(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d-1)/time.Second) + 1
}
