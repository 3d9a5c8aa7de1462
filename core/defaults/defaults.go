// Package defaults sets default values for settings that a configuration omits.
package defaults

import "time"

// Set replaces a setting that is zero or negative with its default. It is only for settings
// for which such values have no meaning.
func Set[T int | float64 | time.Duration](setting *T, value T) {
	if *setting <= 0 {
		*setting = value
	}
}
