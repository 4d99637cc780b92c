package ingress

import (
	"expvar"
	"sync/atomic"
)

const (
	// ConnectionBytes is the memory that is charged for each connection: two buffers of 4 KiB
	// and the stacks of the HTTP server, and FreeBytes.
	ConnectionBytes = 24 << 10
	// FreeBytes is the part of ConnectionBytes for the header and the body of a request. Small
	// requests are therefore never refused because of the memory that others hold.
	FreeBytes = 10 << 10
	// fieldBytes is what one short header field costs beyond its bytes: its entry in the map of
	// the request, in the copy for the call and in the header for the engine. 2,500 fields of 5
	// bytes take 272 bytes each.
	fieldBytes = 320
	// requestShare is the part of the budget, in percent, that requests may take. The rest is
	// for answers of calls that have run.
	requestShare = 85
)

var (
	bytesInUse       = expvar.NewInt("ingress_bytes")
	connectionsInUse = expvar.NewInt("ingress_connections")
	refusals         = expvar.NewMap("ingress_refused")
	closings         = expvar.NewMap("ingress_closed")
)

// Budget bounds what one process holds for all its clients. The zero value has no bounds.
type Budget struct {
	// Bytes bounds the memory; 0 means no bound.
	Bytes int64

	used atomic.Int64
}

// Used returns the bytes that are charged.
func (b *Budget) Used() int64 { return b.used.Load() }

// take charges n bytes if no more than percent of the budget is used then.
func (b *Budget) take(n, percent int64) bool {
	if used := b.used.Add(n); b.Bytes > 0 && used > b.Bytes/100*percent {
		b.used.Add(-n)
		return false
	}
	bytesInUse.Add(n)
	return true
}

// charge charges n bytes without a check, or releases them if n is negative.
func (b *Budget) charge(n int64) {
	b.used.Add(n)
	bytesInUse.Add(n)
}
