// Package defaults fills in what a configuration leaves out.
package defaults

import "time"

// Set gives a setting its default if it is zero, or below: none that is filled in this
// way has a meaning there.
func Set[T int | float64 | time.Duration](setting *T, value T) {
	if *setting <= 0 {
		*setting = value
	}
}
