package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/camphorlever/camphorlever/internal/intake"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const (
	// peerConnShare is the limit of connections from other routers, relative to
	// that of callers. Each router keeps one connection to each other.
	peerConnShare = 0.25
	// smallConnShare is that of the ready and the metrics address.
	smallConnShare = 0.05
	// peerWriteTimeout bounds a write to another router, as package rpc does.
	peerWriteTimeout = 10 * wire.HeartbeatInterval
	// intakeReportPeriod is how often it is logged that requests were given up.
	intakeReportPeriod = time.Second
)

// intakeOptions returns the limits of a server's listener.
func (r *Router) intakeOptions(server *http.Server) intake.Options {
	o := intake.Options{MaxHeadBytes: r.maxHeadBytes, WriteTimeout: writeTimeout}
	share := smallConnShare
	switch server {
	case r.callerServer:
		share = 1
	case r.peerServer:
		share, o.WriteTimeout = peerConnShare, peerWriteTimeout
	}
	o.MaxConns = r.options.Limits.Conns(share)
	return o
}

// maxHeadBytes returns the limit of request heads that the operators have
// published, or the one that applies before any settings were read.
func (r *Router) maxHeadBytes() int {
	if s := r.settings.Current(); s != nil && s.Limits.MaxHeaderBytes > 0 {
		return s.Limits.MaxHeaderBytes
	}
	return maxHeaderBytes
}

// reportIntake logs that requests or connections were given up.
func (r *Router) reportIntake(ctx context.Context) {
	ticker := time.NewTicker(intakeReportPeriod)
	defer ticker.Stop()
	for reported := r.intake.GivenUp(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n := r.intake.GivenUp(); n > reported {
			r.log.Warn().Int64("count", n-reported).Int64("held", r.intake.Used()).Int64("limit", r.intake.Limit()).
				Msg("unfinished requests or connections of clients were given up")
			reported = n
		}
	}
}
