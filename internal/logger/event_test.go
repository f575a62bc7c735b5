package logger_test

import (
	"testing"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/logger"
)

// TestEventsAreUnique guards against two events with one number or name.
func TestEventsAreUnique(t *testing.T) {
	is := is.New(t)
	numbers, names := map[int]string{}, map[string]int{}
	for _, e := range logger.Catalogue() {
		is.Equal(numbers[e.Number], "")
		is.Equal(names[e.Name], 0)
		numbers[e.Number], names[e.Name] = e.Name, e.Number
	}
}
