// Package explain finds in the logs of several processes what happened to one request, and what the processes believed around it.
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
	// maxLine bounds one line of a log, in bytes.
	maxLineBytes = 1 << 20
	// before and after bound the time around a request from which beliefs are shown.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
)

// ErrNotFound means that no line names the request.
var ErrNotFound = errors.New("explain: no line names the request")

// Record is one line of a log.
type Record struct {
	Process string
	// Time is the process's own clock; Aligned is that of the process that handled the request.
	Time, Aligned time.Time
	Message       string
	RequestID     string
	Fields        map[string]any
	// Matched tells that the line is about the request itself.
	Matched bool
}

// beliefs are the messages that change what a process believes, with the field that names the same event in all processes, if
// there is one. Such events align clocks.
var stateMessages = map[string]string{
	"configuration in force": "revision",
	"model version named":    "version",
	"store is lost":          "", "store is back": "", "link lost": "", "link up": "", "load ordered": "", "version loaded": "",
	"upstream does not answer": "", "upstream answers again": "", "upstream was restarted": "", "entry is leaving": "",
	"entry started": "", "history of the store is gone, listing again": "",
}

// ofUpstream are the beliefs that are shown of other processes too: those about the upstreams beside them.
var upstreamMessages = map[string]bool{"load ordered": true, "version loaded": true, "upstream does not answer": true,
	"upstream answers again": true, "upstream was restarted": true}

// Read parses the lines of one log. Text before the JSON object of a line, such as a time added by a collector, is skipped; lines
// without an object are counted.
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

// Timeline returns the lines about a request and the beliefs around it in order of time. Clocks are aligned to that of the process
// that handled the request, by events that several processes have logged.
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
		_, isState := stateMessages[r.Message]
		isState = isState && (r.Process == matched[0].Process || upstreamMessages[r.Message])
		r.Matched = r.RequestID == id
		if r.Matched || isState && !r.Aligned.Before(first) && !r.Aligned.After(last) {
			out = append(out, r)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Aligned.Before(out[j].Aligned) })
	return out, nil
}

// taken returns the time that an attempt took: its line is written at the end.
func elapsed(r Record) time.Duration {
	for _, key := range []string{"took_ms", "after_ms"} {
		if ms, ok := r.Fields[key].(float64); ok {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// align returns for each process what has to be added to its clock: the median difference to the reference at events that both
// have logged.
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

// Write prints records as lines of text. Lines about the request are marked.
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
		if _, err := fmt.Fprintf(w, "%s %+8.3f s  %-16s %s%s\n", mark, r.Aligned.Sub(start).Seconds(), r.Process, r.Message, formatFields(r.Fields)); err != nil {
			return errors.Wrap(err, "explain: write")
		}
	}
	return nil
}

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
