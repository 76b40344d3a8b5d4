package logservice

import "fmt"

// Unavailable returns an error that matches both ErrUnavailable and its cause.
func Unavailable(cause error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}
