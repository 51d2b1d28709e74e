package residency

import (
	"slices"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// Summary describes the restrictions of a configuration for the log.
type Summary struct {
	// Routes and Customers are the numbers of those with a list.
	Routes, Customers int
	// Unmatched holds, in order, the regions in these lists that no data centre has, at most maxUnmatched of them. Such a region allows nothing.
	Unmatched []string
}

// maxUnmatched bounds the names in a log line.
const maxUnmatched = 20

// Summarise returns the restrictions of a configuration. regions maps each data centre to its region.
func Summarise(c *catalog.Config, regions map[string]string) Summary {
	known, unmatched := map[string]bool{}, map[string]bool{}
	for _, region := range regions {
		known[region] = true
	}
	var s Summary
	count := func(list []string, counter *int) {
		if len(list) > 0 {
			*counter++
		}
		for _, region := range list {
			if !known[region] && region != catalog.UnreadableRegion {
				unmatched[region] = true
			}
		}
	}
	for i := range c.Routes {
		count(c.Routes[i].AllowedRegions, &s.Routes)
	}
	for i := range c.Customers {
		count(c.Customers[i].AllowedRegions, &s.Customers)
	}
	for region := range unmatched {
		s.Unmatched = append(s.Unmatched, region)
	}
	slices.Sort(s.Unmatched)
	s.Unmatched = s.Unmatched[:min(len(s.Unmatched), maxUnmatched)]
	return s
}
