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

// connectedStatus is the HTTP status of net/rpc servers in reply to CONNECT.
const connectedStatus = "200 Connected to Go RPC"

// readWriteTimeout bounds each read and write on a connection. It suffices because
// clients send a heartbeat each wire.HeartbeatInterval, and close connections on
// which they make no calls.
const readWriteTimeout = 10 * wire.HeartbeatInterval

var serverCounters = counter.NewSet("rpc_server")

// Server is the HTTP handler of wire.PathRPC. It serves net/rpc services to clients
// that present the fleet key.
type Server struct {
	fleetKey string
	rpc      *rpc.Server
}

// NewServer returns a server without services; see Register.
func NewServer(fleetKey string) *Server {
	return &Server{fleetKey: fleetKey, rpc: rpc.NewServer()}
}

// Register makes the methods of a receiver available under a service name. It fails
// if the receiver has no suitable methods or the name is taken.
func (s *Server) Register(service string, receiver any) error {
	return errors.Wrapf(s.rpc.RegisterName(service, receiver), "register rpc service %s", service)
}

// ServeHTTP hijacks the connection of a CONNECT request and serves net/rpc on it
// until it is closed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !HasFleetKey(r, s.fleetKey) {
		serverCounters.Inc("refused_fleet_key")
		http.Error(w, "fleet key is missing or wrong", http.StatusUnauthorized)
		return
	}
	if r.Method != http.MethodConnect {
		http.Error(w, "CONNECT is required", http.StatusMethodNotAllowed)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		serverCounters.Inc("not_hijacked")
		http.Error(w, "connection cannot be taken over", http.StatusInternalServerError)
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.0 "+connectedStatus+"\n\n"); err != nil {
		conn.Close()
		return
	}
	s.serveConn(conn)
}

// serveConn serves calls until the client closes the connection, or sends nothing,
// not even heartbeats, for readWriteTimeout.
func (s *Server) serveConn(conn net.Conn) {
	s.rpc.ServeConn(&deadlineConn{Conn: conn})
}

// deadlineConn is a connection with a deadline of readWriteTimeout for each read and
// write.
type deadlineConn struct {
	net.Conn
}

// Read fails if nothing arrives within readWriteTimeout.
func (b *deadlineConn) Read(p []byte) (int, error) {
	if err := b.SetReadDeadline(time.Now().Add(readWriteTimeout)); err != nil {
		return 0, err
	}
	return b.Conn.Read(p)
}

// Write fails if the data cannot be written within readWriteTimeout.
func (b *deadlineConn) Write(p []byte) (int, error) {
	if err := b.SetWriteDeadline(time.Now().Add(readWriteTimeout)); err != nil {
		return 0, err
	}
	return b.Conn.Write(p)
}

// HasFleetKey reports whether a request carries the fleet's own key. If fleetKey is
// empty, no request is accepted. The comparison takes constant time.
func HasFleetKey(r *http.Request, fleetKey string) bool {
	presented := r.Header.Get(wire.FleetKeyHeader)
	return fleetKey != "" && subtle.ConstantTimeCompare([]byte(presented), []byte(fleetKey)) == 1
}
