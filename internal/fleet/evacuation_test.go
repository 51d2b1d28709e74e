package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/fleet"
)

// written, listed and removed return the records of the key of data centre "z" that was written and read as a change, that was read in a
// listing, and that was removed.
func written(era, revision int64) fleet.EvacuationRecord {
	return fleet.EvacuationRecord{DataCentre: "z", Active: true, Era: era, Revision: revision, Observed: true}
}

func listed(era, revision int64) fleet.EvacuationRecord {
	return fleet.EvacuationRecord{DataCentre: "z", Active: true, Era: era, Revision: revision}
}

func removed(era, revision int64) fleet.EvacuationRecord {
	return fleet.EvacuationRecord{DataCentre: "z", Era: era, Revision: revision}
}

// withKeys returns a listing that has the given records.
func withKeys(era, revision int64, records ...fleet.EvacuationRecord) fleet.EvacuationListing {
	return fleet.EvacuationListing{Records: records, Era: era, Revision: revision}
}

// evacuatedState returns a state that has merged the records, in order.
func evacuatedState(records ...fleet.EvacuationRecord) *fleet.State {
	s := fleet.NewState(nil)
	for _, r := range records {
		s.ApplyEvacuation(r)
	}
	return s
}

// Guards against requests to an evacuated data centre, or a data centre that gets none for good, because records have arrived late, twice or in
// another order than they were made. Nodes that have the same records agree.
func TestEvacuationsAreOrderedByTheHistoryOfTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		records []fleet.EvacuationRecord
		want    bool
	}{
		"write":                                  {[]fleet.EvacuationRecord{written(1, 90)}, true},
		"write and removal":                      {[]fleet.EvacuationRecord{written(1, 90), removed(1, 100)}, false},
		"second write":                           {[]fleet.EvacuationRecord{written(1, 90), removed(1, 100), written(1, 110)}, true},
		"lower revision in a new era":            {[]fleet.EvacuationRecord{written(1, 90), removed(1, 100), written(2, 60)}, true},
		"removal in a new era":                   {[]fleet.EvacuationRecord{written(1, 90), listed(2, 90), removed(2, 95)}, false},
		"copy made before the removal":           {[]fleet.EvacuationRecord{listed(1, 90), withWrite(removed(1, 100), 90), listed(2, 90)}, false},
		"new write at the revision of the lost":  {[]fleet.EvacuationRecord{listed(1, 90), removed(1, 100), written(2, 90)}, true},
		"that write, read by both ways":          {[]fleet.EvacuationRecord{withWrite(removed(1, 100), 90), listed(2, 90), written(2, 90)}, true},
		"copy holds a write that is not known":   {[]fleet.EvacuationRecord{written(1, 90), removed(1, 100), listed(2, 80)}, true},
		"write after the copy":                   {[]fleet.EvacuationRecord{written(1, 90), withWrite(removed(1, 100), 90), listed(2, 90), written(2, 96)}, true},
		"copy of an era before the previous one": {[]fleet.EvacuationRecord{written(1, 90), withWrite(removed(1, 100), 90), listed(3, 90)}, false},
	} {
		permute(c.records, func(order []fleet.EvacuationRecord) {
			NewWithT(t).Expect(evacuatedState(order...).Snapshot().Evacuated("z")).To(Equal(c.want), "%s: %s", name, fmt.Sprint(order))
		})
	}
}

// permute calls f with all orders of records, with the first record of each repeated at the end.
func permute(records []fleet.EvacuationRecord, f func([]fleet.EvacuationRecord)) {
	var extend func(order, rest []fleet.EvacuationRecord)
	extend = func(order, rest []fleet.EvacuationRecord) {
		if len(rest) == 0 {
			f(append(order, order[0]))
		}
		for i, r := range rest {
			others := append(append([]fleet.EvacuationRecord{}, rest[:i]...), rest[i+1:]...)
			extend(append(append([]fleet.EvacuationRecord{}, order...), r), others)
		}
	}
	extend(nil, records)
}

// Guards against an evacuation that goes on because the removal of its key fell into a gap of the history, and against one that ends because the
// store was restored from a copy made before the write, or because the listing was made earlier or lacks an unreadable item.
func TestListingEndsEvacuationsOfItsEra(t *testing.T) {
	for name, c := range map[string]struct {
		known   fleet.EvacuationRecord
		listing fleet.EvacuationListing
		want    bool
		effects []fleet.EvacuationEffect
		kept    int
	}{
		"same era":      {written(1, 90), withKeys(1, 100), false, []fleet.EvacuationEffect{fleet.EvacuationEnded}, 0},
		"before write":  {written(1, 90), withKeys(1, 80), true, nil, 0},
		"unreadable":    {written(1, 90), fleet.EvacuationListing{Era: 1, Revision: 100, HasUnreadable: true}, true, nil, 1},
		"new era":       {written(1, 90), withKeys(2, 80), true, nil, 1},
		"copy has it":   {written(1, 90), withKeys(2, 95, listed(2, 90)), true, []fleet.EvacuationEffect{fleet.EvacuationUnchanged}, 0},
		"copy revives":  {withWrite(removed(1, 100), 90), withKeys(2, 95, listed(2, 90)), false, []fleet.EvacuationEffect{fleet.EvacuationRepeated}, 0},
		"copy and more": {withWrite(removed(1, 100), 90), withKeys(2, 99, listed(2, 97)), true, []fleet.EvacuationEffect{fleet.EvacuationBegan}, 0},
	} {
		g := NewWithT(t)
		s := evacuatedState(c.known)
		changes, kept := s.ApplyEvacuationListing(c.listing)
		var effects []fleet.EvacuationEffect
		for _, change := range changes {
			effects = append(effects, change.Effect)
		}
		g.Expect(s.Snapshot().Evacuated("z")).To(Equal(c.want), name)
		g.Expect(effects).To(Equal(c.effects), name)
		g.Expect(kept).To(HaveLen(c.kept), name)
	}
}

// withWrite returns the record of a removal with the revision of the write.
func withWrite(r fleet.EvacuationRecord, revision int64) fleet.EvacuationRecord {
	r.Written = revision
	return r
}

// Guards against a write that reaches a node late, after it has listed the store without the key, and begins an evacuation that nothing ends;
// and against a node that stays with that write because it is not told.
func TestLateWriteAfterAListingWithoutTheKeyIsOver(t *testing.T) {
	g := NewWithT(t)
	s, behind := fleet.NewState(nil), evacuatedState(written(1, 90))
	s.Observe(func(c fleet.Change) { behind.ApplyEvacuation(*c.Evacuation) })
	s.ApplyEvacuationListing(withKeys(1, 100))
	g.Expect(s.ApplyEvacuation(written(1, 90)).Effect).To(Equal(fleet.EvacuationUnchanged))
	g.Expect(s.Snapshot().Evacuated("z")).To(BeFalse())
	g.Expect(behind.Snapshot().Evacuated("z")).To(BeFalse())
	g.Expect(s.ApplyEvacuation(written(1, 110)).Effect).To(Equal(fleet.EvacuationBegan))

	s.ApplyEvacuationListing(withKeys(1, 120, listed(1, 110)))
	g.Expect(s.ApplyEvacuation(written(1, 110)).Effect).To(Equal(fleet.EvacuationUnchanged), "the listing has it")
	g.Expect(s.Snapshot().Evacuated("z")).To(BeTrue())
}

// Guards against a node that has started on the copy of a restored store and never hears that the evacuation in it was over: the nodes that know
// so tell it.
func TestNodeThatStartsOnTheCopyLearnsOfTheRemoval(t *testing.T) {
	g := NewWithT(t)
	for _, startsBeforeTheListing := range []bool{true, false} {
		s, started := evacuatedState(written(1, 90), removed(1, 100)), fleet.NewState(nil)
		s.Observe(func(c fleet.Change) { started.ApplyEvacuation(*c.Evacuation) })
		if startsBeforeTheListing {
			started.ApplyEvacuationListing(withKeys(2, 95, listed(2, 90)))
			s.ApplyEvacuationListing(withKeys(2, 95, listed(2, 90)))
		} else {
			s.ApplyEvacuationListing(withKeys(2, 95, listed(2, 90)))
			started.ApplyEvacuationListing(withKeys(2, 95, listed(2, 90)))
		}
		g.Expect(s.Snapshot().Evacuated("z")).To(BeFalse())
		g.Expect(started.Snapshot().Evacuated("z")).To(BeFalse())
	}
}

// Guards against upstreams that count as cold for no reason, or not at all, because the end of an evacuation has the wrong time.
func TestTimeOfTheEndOfAnEvacuation(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := fleet.NewState(func() time.Time { return now })
	g.Expect(s.Snapshot().EvacuationEndedAt("z")).To(BeZero())
	s.ApplyEvacuation(written(1, 90))
	g.Expect(s.Snapshot().EvacuationEndedAt("z")).To(BeZero())
	now = now.Add(time.Minute)
	end := withWrite(removed(1, 100), 90)
	end.EndedAt = now.Add(-2 * time.Second)
	s.ApplyEvacuation(end)
	g.Expect(s.Snapshot().EvacuationEndedAt("z")).To(Equal(now), "this node sent nothing there before")
	ended := now
	now = now.Add(time.Minute)
	s.ApplyEvacuation(end)
	s.ApplyEvacuation(written(1, 110))
	g.Expect(s.Snapshot().EvacuationEndedAt("z")).To(Equal(ended))

	started := fleet.NewState(func() time.Time { return now })
	started.ApplyEvacuation(end)
	g.Expect(started.Snapshot().EvacuationEndedAt("z")).To(Equal(end.EndedAt), "the age that a peer states")
}

// Guards against nodes that send each other the record of an end without end, because each computes a slightly different time of it.
func TestRecordWithAnotherTimeOfTheEndIsNoChange(t *testing.T) {
	g := NewWithT(t)
	s := evacuatedState(written(1, 90), removed(1, 100))
	s.Observe(func(fleet.Change) { t.Error("the record was published") })
	again := withWrite(removed(1, 100), 90)
	for _, difference := range []time.Duration{-time.Hour, -time.Millisecond, time.Millisecond, time.Hour} {
		again.EndedAt = time.Now().Add(difference)
		g.Expect(s.ApplyEvacuation(again).Effect).To(Equal(fleet.EvacuationUnchanged))
	}
	g.Expect(s.Snapshot().EvacuationEndedAt("z")).To(BeTemporally("~", time.Now(), time.Minute))
}

// Guards against keys with ever more names that fill the memory, or a list that links refuse.
func TestNumberOfEvacuationsIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := evacuatedState(written(1, 90))
	for i := range 3000 {
		r := written(1, int64(100+i))
		r.DataCentre = fmt.Sprintf("z%d", i)
		s.ApplyEvacuation(r)
	}
	g.Expect(s.Snapshot().Evacuations()).To(HaveLen(1024))
	s.ApplyEvacuation(removed(1, 5000))
	g.Expect(s.Snapshot().Evacuated("z")).To(BeFalse())
}
