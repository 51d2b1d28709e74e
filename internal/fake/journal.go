package fake

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"time"
)

// Request headers that the journal records. HeaderIdempotencyKey identifies an order, so that a repeated order can be recognised.
const (
	HeaderRequestID      = "Pimentohead-Request-Id"
	HeaderAttempt        = "Pimentohead-Attempt"
	HeaderCaller         = "Pimentohead-Caller"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// JournalEntry records one run of a request on an upstream. The fields from RequestID to Caller are request headers.
type JournalEntry struct {
	// Seq numbers the entries of one upstream from 1.
	Seq            int    `json:"seq"`
	RequestID      string `json:"request_id"`
	Attempt        string `json:"attempt"`
	IdempotencyKey string `json:"order_key"`
	Caller         string `json:"caller"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	// BodyHash is the SHA-256 hash of the request body in hex.
	BodyHash string `json:"body_hash"`
	// Version is the version of the model that answers; it is empty for a Service.
	Version string    `json:"version"`
	Started time.Time `json:"started"`
	// Finished is nil while the request runs, and stays nil if the upstream crashes.
	Finished *time.Time `json:"finished,omitempty"`
	// Completed is set when the request ran to its end, Cancelled when the caller disconnected before that. A Service runs a request
	// to its end even then, and sets both.
	Completed bool `json:"completed"`
	Cancelled bool `json:"cancelled"`
}

// Journal records the requests that an upstream has run. If it has a file, it survives a crash of the stand-in. It is safe for
// concurrent use.
type Journal struct {
	// mu guards entries and writes to file.
	mu      sync.Mutex
	entries []JournalEntry
	file    *os.File
}

// OpenJournal returns the journal in the file at path, which is created if it does not exist; new entries are appended. An empty
// path keeps the journal in memory only.
func OpenJournal(path string) (*Journal, error) {
	journal := &Journal{}
	if path == "" {
		return journal, nil
	}
	entries, err := ReadJournal(path)
	if err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	journal.entries = entries
	journal.file, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // named by the test
	return journal, err
}

// ReadJournal reads a journal file. Each line is a JournalEntry in JSON. A run writes one line at its start and one at its end, both
// with the same Seq; the later line replaces the earlier one.
func ReadJournal(path string) ([]JournalEntry, error) {
	text, err := os.ReadFile(path) //nolint:gosec // named by the test
	if err != nil {
		return nil, err
	}
	var entries []JournalEntry
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		var entry JournalEntry
		// A line that is still being written, or that a crash cut off, is not valid JSON and is skipped.
		if json.Unmarshal(lines.Bytes(), &entry) != nil || entry.Seq < 1 || entry.Seq > len(entries)+1 {
			continue
		}
		if entry.Seq == len(entries)+1 {
			entries = append(entries, entry)
			continue
		}
		entries[entry.Seq-1] = entry
	}
	return entries, lines.Err()
}

// start records that a request begins to run. version is empty for a Service.
func (j *Journal) start(r *http.Request, body []byte, version string) JournalEntry {
	sum := sha256.Sum256(body)
	entry := JournalEntry{
		RequestID: r.Header.Get(HeaderRequestID), Attempt: r.Header.Get(HeaderAttempt),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey), Caller: r.Header.Get(HeaderCaller),
		Method: r.Method, Path: r.URL.Path, BodyHash: hex.EncodeToString(sum[:]),
		Version: version, Started: time.Now(),
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	entry.Seq = len(j.entries) + 1
	j.entries = append(j.entries, entry)
	j.append(entry)
	return entry
}

// finish records the end of a run.
func (j *Journal) finish(entry JournalEntry, completed, cancelled bool) {
	now := time.Now()
	entry.Finished, entry.Completed, entry.Cancelled = &now, completed, cancelled
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries[entry.Seq-1] = entry
	j.append(entry)
}

// append writes one line to the file, if there is one. The caller holds mu.
func (j *Journal) append(entry JournalEntry) {
	if j.file == nil {
		return
	}
	line, err := json.Marshal(entry)
	if err == nil {
		_, err = j.file.Write(append(line, '\n'))
	}
	if err != nil {
		panic(err) // Tests rely on the journal for what ran, so a gap must not go unnoticed.
	}
}

// ServeHTTP answers with all entries as a JSON array.
func (j *Journal) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	j.mu.Lock()
	entries := append([]JournalEntry{}, j.entries...)
	j.mu.Unlock()
	writeJSON(w, http.StatusOK, entries)
}
