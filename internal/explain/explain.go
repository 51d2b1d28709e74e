// Package explain builds a timeline of one request from the logs of several processes, together with the changes of state that the
// processes logged around that time.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
	// contextBefore and contextAfter bound the time around a request from which state changes are shown.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
)

// ErrNotFound means that no log line contains the request ID.
var ErrNotFound = errors.New("explain: no log line contains the request ID")

// Record is a parsed log line.
type Record struct {
	// Process is the node ID in the line, or the name of the log when there is none.
	Process string
	// Time is the timestamp by the clock of Process. Aligned is the same instant by the clock of the process that handled the
	// request.
	Time, Aligned time.Time
	Message       string
	// RequestID is the value of the field request, empty for lines that are not about a request.
	RequestID string
	// Fields holds the fields of the line except time, level, msg and node.
	Fields map[string]any
	// Matched is set when the line has the ID of the requested request. Other lines are context.
	Matched bool
}

// stateMessages lists the log messages that report a change of state in a process, such as a new configuration or a lost link. The
// value is the field that identifies the same event in the logs of all processes, or "" if there is none. These events are used to
// align clocks.
var stateMessages = map[string]string{
	"configuration in force": "revision",
	"model version named":    "version",
	"store is lost":          "", "store is back": "", "link lost": "", "link up": "", "load ordered": "", "version loaded": "",
	"upstream does not answer": "", "upstream answers again": "", "upstream was restarted": "", "entry is leaving": "",
	"entry started": "", "history of the store is gone, listing again": "",
}

// upstreamMessages lists the state messages that are also shown for processes that did not handle the request: those of agents about
// their upstreams.
var upstreamMessages = map[string]bool{"load ordered": true, "version loaded": true, "upstream does not answer": true,
	"upstream answers again": true, "upstream was restarted": true}

// Read parses the lines of one log. It ignores text before the JSON object of a line, such as a timestamp added by a log collector.
// skipped is the number of lines without a valid JSON object.
func Read(r io.Reader, name string) (records []Record, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line := scanner.Text()
		start := strings.IndexByte(line, '{')
		if start < 0 {
			skipped++
			continue
		}
		fields := map[string]any{}
		if err := json.Unmarshal([]byte(line[start:]), &fields); err != nil {
			skipped++
			continue
		}
		records = append(records, newRecord(fields, name))
	}
	return records, skipped, errors.Wrapf(scanner.Err(), "explain: read %s", name)
}

func newRecord(fields map[string]any, name string) Record {
	r := Record{Process: name, Fields: fields}
	if node, ok := fields["node"].(string); ok && node != "" {
		r.Process = node
	}
	r.Message, _ = fields["msg"].(string)
	r.RequestID, _ = fields["request"].(string)
	if text, ok := fields["time"].(string); ok {
		if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
			r.Time = at
		}
	}
	for _, key := range []string{"time", "level", "msg", "node"} {
		delete(fields, key)
	}
	return r
}

// Timeline returns the lines about the request id and the state changes around it, ordered by time. Timestamps are aligned to the
// clock of the process that handled the request, by events that several processes have logged. The process of the first record
// with the ID counts as the one that handled the request. The error matches ErrNotFound when no record has the ID.
func Timeline(records []Record, id string) ([]Record, error) {
	var matched []Record
	for _, r := range records {
		if r.RequestID == id {
			matched = append(matched, r)
		}
	}
	if len(matched) == 0 {
		return nil, errors.Wrap(ErrNotFound, id)
	}
	offsets := clockOffsets(records, matched[0].Process)
	first, last := matched[0].Time, matched[0].Time
	for _, r := range matched {
		if r.Time.Before(first) {
			first = r.Time
		}
		if r.Time.After(last) {
			last = r.Time
		}
	}
	first = first.Add(-elapsed(matched[0]) - contextBefore)
	last = last.Add(contextAfter)
	var out []Record
	for _, r := range records {
		r.Aligned = r.Time.Add(offsets[r.Process])
		_, isContext := stateMessages[r.Message]
		isContext = isContext && (r.Process == matched[0].Process || upstreamMessages[r.Message])
		r.Matched = r.RequestID == id
		if r.Matched || isContext && !r.Aligned.Before(first) && !r.Aligned.After(last) {
			out = append(out, r)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Aligned.Before(out[j].Aligned) })
	return out, nil
}

// elapsed returns the duration in the field took_ms or after_ms of a line, or 0. A line about an attempt or a request is written when
// that ends, so it started that long before the timestamp.
func elapsed(r Record) time.Duration {
	for _, key := range []string{"took_ms", "after_ms"} {
		if ms, ok := r.Fields[key].(float64); ok {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// clockOffsets returns the offset to add to the timestamps of each process. It is the median difference to the clock of the
// reference process over the events that both have logged.
func clockOffsets(records []Record, reference string) map[string]time.Duration {
	eventTimes := map[string]map[string]time.Time{}
	for _, r := range records {
		field, ok := stateMessages[r.Message]
		if !ok || field == "" || r.Time.IsZero() {
			continue
		}
		event := fmt.Sprintf("%s/%v", r.Message, r.Fields[field])
		if eventTimes[r.Process] == nil {
			eventTimes[r.Process] = map[string]time.Time{}
		}
		if _, recorded := eventTimes[r.Process][event]; !recorded {
			eventTimes[r.Process][event] = r.Time
		}
	}
	offsets := map[string]time.Duration{}
	for process, events := range eventTimes {
		var differences []time.Duration
		for event, at := range events {
			if referenceTime, ok := eventTimes[reference][event]; ok {
				differences = append(differences, referenceTime.Sub(at))
			}
		}
		sort.Slice(differences, func(i, j int) bool { return differences[i] < differences[j] })
		if len(differences) > 0 {
			offsets[process] = differences[len(differences)/2]
		}
	}
	return offsets
}

// Write writes records as lines of text, with times relative to the start of the request. Lines about the request are marked with
// an asterisk.
func Write(w io.Writer, records []Record) error {
	if len(records) == 0 {
		return nil
	}
	var start time.Time
	for _, r := range records {
		if r.Matched {
			start = r.Aligned.Add(-elapsed(r))
			break
		}
	}
	for _, r := range records {
		mark := " "
		if r.Matched {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %+8.3f s  %-16s %s%s\n",
			mark, r.Aligned.Sub(start).Seconds(), r.Process, r.Message, formatFields(r.Fields)); err != nil {
			return errors.Wrap(err, "explain: write")
		}
	}
	return nil
}

// formatFields formats fields as key=value pairs in order of their keys.
func formatFields(fields map[string]any) string {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var b strings.Builder
	for _, key := range keys {
		fmt.Fprintf(&b, " %s=%v", key, fields[key])
	}
	return b.String()
}
