package fleet

import "cmp"

// CheckpointRecord records that a checkpoint, a copy of an operator's document that the system itself keeps in the store, is known to be
// stored.
type CheckpointRecord struct {
	// Key is the key of the checkpoint in the store.
	Key string
	// Number is the operator's number of the copied document: the version of the configuration or of a model.
	Number int64
	// Era is the era of the store in which the checkpoint is stored. A store that is restored from an earlier copy may have lost it.
	Era int64
}

// ApplyCheckpoint merges a record and reports whether it was accepted: one of a later era of the store replaces the one that is known, and in
// the same era one with a higher number.
func (s *State) ApplyCheckpoint(c CheckpointRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.checkpoints[c.Key]
	if ok && cmp.Or(cmp.Compare(c.Era, known.Era), cmp.Compare(c.Number, known.Number)) <= 0 {
		return false
	}
	s.checkpoints[c.Key] = c
	s.notify(Change{Checkpoint: &c})
	return true
}

// Checkpoint returns the record that is known for a key, the zero value if there is none.
func (s *State) Checkpoint(key string) CheckpointRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkpoints[key]
}

// HasCheckpoint reports whether the document with the given number, or a newer one, is known to be stored under a key in the era of the store
// that is known.
func (s *State) HasCheckpoint(key string, number int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.checkpoints[key]
	return ok && known.Number >= number && known.Era >= s.era
}

// Checkpoints returns all records, to be sent to another node.
func (s *State) Checkpoints() []CheckpointRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []CheckpointRecord
	for _, c := range s.checkpoints {
		out = append(out, c)
	}
	return out
}
