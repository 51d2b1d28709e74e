package loadgen

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// recorder aggregates results from many goroutines.
type recorder struct {
	// mu guards summary.
	mu      sync.Mutex
	summary *Summary
}

func newRecorder() *recorder {
	return &recorder{summary: &Summary{
		FirstByte: hdrhistogram.New(minRecordedMicros, maxRecordedMicros, significantDigits),
		Total:     hdrhistogram.New(minRecordedMicros, maxRecordedMicros, significantDigits),
	}}
}

func (r *recorder) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Skipped++
}

func (r *recorder) add(s *Stream, result Result) {
	if s.Observe != nil {
		s.Observe(result)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Sent++
	switch result.Outcome {
	case OutcomeOK:
		r.success(s, result)
	case "not-run":
		r.summary.NotRun++
	case "unknown":
		r.summary.Unknown++
	case OutcomeBroken:
		r.summary.Broken++
	default:
		r.summary.Failed++
	}
}

// success records a whole answer. The caller holds mu.
func (r *recorder) success(s *Stream, result Result) {
	r.summary.OK++
	if result.Mismatch {
		r.summary.Mismatched++
	}
	if s.FirstByteTarget == 0 || result.FirstByte <= s.FirstByteTarget {
		r.summary.InTime++
	}
	_ = r.summary.FirstByte.RecordValue(result.FirstByte.Microseconds())
	_ = r.summary.Total.RecordValue(result.Total.Microseconds())
}
