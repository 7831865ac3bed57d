package entry_test

import (
	"testing"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 25) }
