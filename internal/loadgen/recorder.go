package loadgen

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// recorder aggregates the results of a stream. Its methods are safe for concurrent use.
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

// countSkipped counts a request that was not sent because too many were outstanding.
func (r *recorder) countSkipped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Skipped++
}

// record passes the result to the stream's Observe function and counts it by its outcome.
func (r *recorder) record(s *Stream, result Result) {
	if s.Observe != nil {
		s.Observe(result)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Sent++
	switch result.Outcome {
	case OutcomeOK:
		r.recordSuccess(s, result)
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

// recordSuccess counts a complete answer and adds its latencies to the histograms. The caller must hold mu.
func (r *recorder) recordSuccess(s *Stream, result Result) {
	r.summary.OK++
	if result.Mismatch {
		r.summary.Mismatched++
	}
	if s.FirstByteTarget == 0 || result.FirstByte <= s.FirstByteTarget {
		r.summary.InTime++
	}
	// RecordValue fails for latencies above the range of the histograms, which then do not contain them.
	_ = r.summary.FirstByte.RecordValue(result.FirstByte.Microseconds())
	_ = r.summary.Total.RecordValue(result.Total.Microseconds())
}
