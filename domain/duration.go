package domain

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is encoded in JSON as a string ("250ms", "4h"),
// so that declarations state their units.
type Duration time.Duration

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration as the standard library does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. It accepts a string such as "1m30s".
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Newf(`a duration must be a string such as "1m30s", not %s`, raw)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf(`%q is not a duration: write it as "250ms", "30s" or "4h"`, text)
	}
	*d = Duration(parsed)
	return nil
}
