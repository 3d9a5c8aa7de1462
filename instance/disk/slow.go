package disk

import "time"

// SlowWrite is the duration above which a write is reported as slow.
const SlowWrite = 300 * time.Millisecond

// ReportSlow runs a write and passes its duration to report if it is slow. report may be nil.
func ReportSlow(report func(took time.Duration), write func() error) error {
	begun := time.Now()
	err := write()
	if took := time.Since(begun); took > SlowWrite && report != nil {
		report(took)
	}
	return err
}
