package measurer

import "context"

// measureRequests runs the experiments on requests: routing, admission, retries, crashes,
// drains, at-most-once execution and overhead.
func measureRequests(ctx context.Context, cfg Config, r *Report) error {
	for _, measure := range []func(context.Context, Config, *Report) error{
		measureRoutingDecision,
		measureRouting,
		measureFairness,
		measureOverload,
		measureRetries,
		measurePoison,
		measureDrain,
		measureAtMostOnce,
		measureOverhead,
	} {
		if err := measure(ctx, cfg, r); err != nil {
			return err
		}
	}
	return nil
}
