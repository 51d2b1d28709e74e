package catalog

import (
	"net/netip"
	"time"
)

// maxClockDifference bounds how far the clock of another machine may be ahead of this one's.
const maxClockDifference = time.Hour

// IsDialable reports whether an address (IP:port) that another writer may have left can be that of one process. An unspecified IP would
// lead to the dialling node itself.
func IsDialable(address string) bool {
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Port() == 0 || at.Addr().Zone() != "" {
		return false
	}
	ip := at.Addr().Unmap()
	return !ip.IsUnspecified() && !ip.IsMulticast() && ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

// IsStartTime reports whether a time in milliseconds since the Unix epoch, which another writer may have left, can be the start time of a
// running process. 0 means unknown.
func IsStartTime(millis int64) bool {
	return millis >= 0 && millis <= time.Now().Add(maxClockDifference).UnixMilli()
}
