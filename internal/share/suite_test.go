package share_test

import (
	"testing"

	"quaybarrow/internal/standin/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "share") }
