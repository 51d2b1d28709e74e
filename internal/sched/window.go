package sched

import "time"

// Usage is accounted over windowBuckets buckets of bucketWidth. The window of one second bounds how long a priority can be served
// ahead of others to make up for a share that it has missed.
const (
	windowBuckets = 10
	bucketWidth   = 100 * time.Millisecond
)

// window sums the cost of finished items over the last second.
type window struct {
	buckets [windowBuckets]float64
	sum     float64
	// current is the index of the newest bucket: the Unix time in units of bucketWidth.
	current int64
}

// advance clears the buckets that have left the window.
func (w *window) advance(now time.Time) {
	index := now.UnixNano() / int64(bucketWidth)
	steps := index - w.current
	if steps <= 0 {
		return
	}
	if steps >= windowBuckets {
		w.buckets, w.sum = [windowBuckets]float64{}, 0
	} else {
		for i := w.current + 1; i <= index; i++ {
			w.sum -= w.buckets[i%windowBuckets]
			w.buckets[i%windowBuckets] = 0
		}
	}
	w.current = index
}

func (w *window) add(now time.Time, cost float64) {
	w.advance(now)
	w.buckets[w.current%windowBuckets] += cost
	w.sum += cost
}

func (w *window) total(now time.Time) float64 {
	w.advance(now)
	return max(w.sum, 0)
}
