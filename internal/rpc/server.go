package rpc

import (
	"crypto/subtle"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// connected is the status line that net/rpc servers answer CONNECT with.
const connected = "200 Connected to Go RPC"

// silentTimeout is how long a connection may carry nothing. Clients send a
// heartbeat each wire.HeartbeatInterval and close connections without calls.
const silentTimeout = 10 * wire.HeartbeatInterval

var served = counter.NewSet("rpc_server")

// Server serves net/rpc services on wire.PathRPC to those who know the fleet
// key.
type Server struct {
	fleetKey string
	rpc      *rpc.Server
}

// NewServer returns a server without services.
func NewServer(fleetKey string) *Server {
	return &Server{fleetKey: fleetKey, rpc: rpc.NewServer()}
}

// Register publishes the methods of a receiver under a service's name.
func (s *Server) Register(service string, receiver any) error {
	return errors.Wrapf(s.rpc.RegisterName(service, receiver), "register rpc service %s", service)
}

// ServeHTTP takes over the connection of a CONNECT request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !HasFleetKey(r, s.fleetKey) {
		served.Inc("refused_fleet_key")
		http.Error(w, "fleet key is missing or wrong", http.StatusUnauthorized)
		return
	}
	if r.Method != http.MethodConnect {
		http.Error(w, "CONNECT is required", http.StatusMethodNotAllowed)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		served.Inc("not_hijacked")
		http.Error(w, "connection cannot be taken over", http.StatusInternalServerError)
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.0 "+connected+"\n\n"); err != nil {
		conn.Close()
		return
	}
	s.serveConn(conn)
}

// serveConn serves calls until the client closes the connection or sends
// nothing, not even heartbeats, for silentTimeout.
func (s *Server) serveConn(conn net.Conn) {
	s.rpc.ServeConn(&bounded{Conn: conn})
}

// bounded is a connection on which each read and write must end in time.
type bounded struct {
	net.Conn
}

// Read fails when nothing arrives within silentTimeout.
func (b *bounded) Read(p []byte) (int, error) {
	if err := b.SetReadDeadline(time.Now().Add(silentTimeout)); err != nil {
		return 0, err
	}
	return b.Conn.Read(p)
}

// Write fails when nothing is taken within silentTimeout.
func (b *bounded) Write(p []byte) (int, error) {
	if err := b.SetWriteDeadline(time.Now().Add(silentTimeout)); err != nil {
		return 0, err
	}
	return b.Conn.Write(p)
}

// HasFleetKey reports whether a request carries the fleet's own key. An empty
// fleet key admits nobody.
func HasFleetKey(r *http.Request, fleetKey string) bool {
	given := r.Header.Get(wire.FleetKeyHeader)
	return fleetKey != "" && subtle.ConstantTimeCompare([]byte(given), []byte(fleetKey)) == 1
}
