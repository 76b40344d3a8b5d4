package catalog

// Names are the names that a format has for the parts of a Draft, for messages about
// a file of that format.
type Names struct {
	Version  string
	Routes   string
	Services string
	Accounts string

	BodyLimit string // path in the document

	RouteHost     string
	RoutePrefix   string
	RouteService  string
	RouteSplit    string
	RouteTimeout  string
	RouteLatency  string
	RouteGap      string
	RoutePriority string

	AccountKeys     string
	AccountPrepaid  string
	AccountPriority string

	// Identity lists the fields that identify an element of a list, the first that it
	// has.
	Identity []string
}
