// Package membership knows the backend servers that may get work: it takes in
// their entries in the order of the log and decides which of them hold.
package membership

import "time"

// Server is one life of a backend server, as its newest entry tells.
type Server struct {
	ID         string
	Service    string
	Address    string // host:port
	DataCentre string
	Draining   bool
	Slots      int
	Sequence   int64         // counts the entries of one life
	StartedMS  int64         // start of this life, Unix milliseconds; zero if not told
	ColdPeriod time.Duration // for which it is still slow after its start
}

// SameIncarnation reports whether two entries come from the same start of a server.
func (s Server) SameIncarnation(other Server) bool {
	return s.ID == other.ID && s.StartedMS == other.StartedMS && s.Address == other.Address
}

// olderThan reports whether an entry was made before another one of the same
// id. Entries can be written late, after newer ones.
func (s Server) olderThan(other Server) bool {
	if s.StartedMS != other.StartedMS {
		return s.StartedMS < other.StartedMS
	}
	return s.Sequence < other.Sequence
}
