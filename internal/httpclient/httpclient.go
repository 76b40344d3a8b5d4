// Package httpclient holds what the HTTP clients of the processes have in common.
package httpclient

import "net/http"

// MaxHeadBytes limits the header of a response, also the interim ones before it. Without a
// limit of its own, net/http keeps up to 10 MB for each connection.
const MaxHeadBytes = 64 << 10

// New returns a client whose responses have a bounded header.
func New() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = MaxHeadBytes
	return &http.Client{Transport: transport}
}

// lastStatus is the highest status of the protocol.
const lastStatus = 599

// IsFinalStatus reports whether a response to a request can have a status. Others are interim,
// switch to a protocol that nobody asked for, or come from a faulty server.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= lastStatus }
