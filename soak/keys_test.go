package main

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a check of keys that misses a request which had to be refused, or that is rejected, and against one that reports those that a
// configuration which may be in force allows.
func TestCheckOfKeys(t *testing.T) {
	const late, inTime = configApply + time.Second, time.Second
	for name, tt := range map[string]struct {
		before, now customerList
		key         string
		public      bool
		at          time.Duration
		status      int
		runs        int
		isReported  bool
	}{
		"unknown key, empty list":         {listedCustomer, emptyList, unknownKey, false, late, 200, 1, true},
		"former key, null":                {listedCustomer, nullList, callerKey, false, late, 0, 1, true},
		"former key in time":              {listedCustomer, emptyList, callerKey, false, inTime, 200, 1, false},
		"unknown key never allowed":       {listedCustomer, emptyList, unknownKey, false, inTime, 200, 1, true},
		"refused":                         {listedCustomer, emptyList, callerKey, false, late, 401, 0, false},
		"open routes":                     {emptyList, missingList, "", false, late, 200, 1, false},
		"open routes, rejected":           {emptyList, missingList, "", false, late, 401, 0, true},
		"open routes, rejected in time":   {emptyList, missingList, "", false, inTime, 401, 0, false},
		"public route, empty list":        {listedCustomer, emptyList, unknownKey, true, late, 200, 1, false},
		"public route, rejected at once":  {listedCustomer, emptyList, "", true, inTime, 401, 0, true},
		"listed key, refused as not run":  {emptyList, listedCustomer, callerKey, false, late, 503, 0, false},
		"unknown key beside a listed one": {missingList, listedCustomer, unknownKey, false, late, 200, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			g, h := NewWithT(t), newHistory()
			h.acknowledge(&h.checker.fleet.configs, 1, -time.Minute)
			h.acknowledge(&h.checker.fleet.configs, 2, 0)
			k := &keyRun{checker: h.checker, lists: map[int64]customerList{1: tt.before, 2: tt.now}}
			at := h.start.Add(tt.at)
			finding := k.checkProbe(keyProbe{callResult{key: tt.key, status: tt.status, beganAt: at, endedAt: at}, tt.public}, tt.runs)
			g.Expect(finding != "").To(Equal(tt.isReported), finding)
		})
	}
}
