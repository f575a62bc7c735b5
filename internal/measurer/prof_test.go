package measurer

import (
	"context"
	"os"
	"testing"

	"go.uber.org/zap"
)

func TestProf(t *testing.T) {
	cfg := Config{Progress: os.Stderr, Logger: zap.NewNop(), Seed: 1, Quick: true}
	for _, f := range []func(context.Context, Config, *Report) error{measureFairness, measureOverload} {
		var r Report
		if err := f(context.Background(), cfg, &r); err != nil {
			t.Fatal(err)
		}
		WriteTable(os.Stderr, r)
	}
}
