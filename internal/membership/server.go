// Package membership knows the backend servers that may get work: it applies
// their entries in log order and decides which of them are valid.
package membership

import "time"

// Server is one incarnation of a backend server, as described by its newest
// entry.
type Server struct {
	ID         string
	Service    string
	Address    string // host:port
	DataCentre string
	Draining   bool
	Slots      int
	Sequence   int64         // counts the entries of one incarnation
	StartedMS  int64         // start of this incarnation in Unix milliseconds; zero if the entry has none
	ColdPeriod time.Duration // time from the writing of the entry for which the server is still cold; zero if the entry does not say
}

// SameIncarnation reports whether two entries come from the same start of a
// server.
func (s Server) SameIncarnation(other Server) bool {
	return s.ID == other.ID && s.StartedMS == other.StartedMS && s.Address == other.Address
}

// olderThan reports whether an entry was made before another entry of the same
// id. An entry can be written late, after newer ones.
func (s Server) olderThan(other Server) bool {
	if s.StartedMS != other.StartedMS {
		return s.StartedMS < other.StartedMS
	}
	return s.Sequence < other.Sequence
}
